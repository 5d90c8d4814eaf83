package org.skylarkstack.gateway;

/**
 * A service of a route and the share of the route's requests that it gets.
 *
 * @param service the name of the service
 * @param weight its share of the requests, relative to the weights of the route's other
 * services
 */
public record WeightedService(String service, int weight) {

}
