package org.skylarkstack.gateway;

/**
 * Share of a route's requests that go to a service.
 *
 * @param service the service
 * @param weight the share relative to the other services of the route
 */
public record WeightedService(String service, int weight) {

}
