package org.skylarkstack.request;

/**
 * HTTP header.
 *
 * @param name the name
 * @param value the value
 */
public record Header(String name, String value) {

}
