package org.skylarkstack.configuration;

/**
 * Key of a configuration object.
 *
 * @param kind the kind
 * @param id the identifier
 */
public record ObjectKey(ObjectKind kind, String id) {

}
