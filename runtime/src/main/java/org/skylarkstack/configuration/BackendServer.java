package org.skylarkstack.configuration;

/**
 * Backend server of a plain HTTP service.
 *
 * @param url the base URL without a trailing slash
 * @param dataCentre the data centre in which it runs
 * @param leaving whether the server is being drained and receives no new requests
 */
public record BackendServer(String url, String dataCentre, boolean leaving) {

}
