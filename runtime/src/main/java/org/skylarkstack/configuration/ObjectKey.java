package org.skylarkstack.configuration;

/**
 * Kind and identifier of a configuration object.
 *
 * @param kind the kind
 * @param id the identifier
 */
public record ObjectKey(ObjectKind kind, String id) {

}
