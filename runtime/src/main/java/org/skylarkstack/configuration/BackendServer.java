package org.skylarkstack.configuration;

/**
 * Backend server of a plain service.
 *
 * @param url the base URL without a trailing slash
 * @param dataCentre the data centre
 * @param leaving whether the server takes no new work
 */
public record BackendServer(String url, String dataCentre, boolean leaving) {

}
