package org.skylarkstack.gateway;

import java.util.List;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;

/**
 * Configuration of a route: which requests it matches by host and path prefix, and which
 * services they go to.
 *
 * @param name the name of the route
 * @param host the host, in lower case
 * @param prefix the path prefix, with a slash at both ends
 * @param kind whether requests may be repeated
 * @param services the services and their weights
 * @param maxAttempts the maximum number of backend servers that one request may be sent
 * to
 * @param timeoutMillis the maximum time until the caller has its complete response, in
 * milliseconds
 * @param targetMillis the latency target, in milliseconds
 * @param targetGapMillis the maximum time between two events of a stream that is on time,
 * in milliseconds
 * @param priority the priority of requests, 0 being the most urgent
 * @param withoutKey whether requests need no key
 * @param resumable whether streams may be resumed
 */
public record ServiceRoute(String name, String host, String prefix, RouteKind kind, List<WeightedService> services,
		int maxAttempts, long timeoutMillis, long targetMillis, long targetGapMillis, int priority, boolean withoutKey,
		boolean resumable) {

	/**
	 * Creates a route with a copy of the list of services.
	 */
	public ServiceRoute {
		services = List.copyOf(services);
	}

	/**
	 * Returns whether a request may be sent again after it may have run.
	 * @return whether requests are idempotent or their streams may be resumed
	 */
	public boolean repeatable() {
		return this.kind.repeatable(this.resumable);
	}

	/**
	 * Picks the service of a request at random, in proportion to the weights.
	 * @param random the source of random numbers
	 * @return the name of the service, or {@code null} if no service has a weight above 0
	 */
	public @Nullable String pickService(RandomGenerator random) {
		int total = this.services.stream().mapToInt(WeightedService::weight).sum();
		if (total <= 0) {
			return null;
		}
		int point = random.nextInt(total);
		for (WeightedService candidate : this.services) {
			point -= candidate.weight();
			if (point < 0) {
				return candidate.service();
			}
		}
		return null;
	}

}
