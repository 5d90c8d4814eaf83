package org.skylarkstack.gateway;

import java.util.List;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;

/**
 * Route of requests to services.
 *
 * @param name the name
 * @param host the host, in lower case
 * @param prefix the path prefix, with a slash at both ends
 * @param kind what may be repeated
 * @param services the services and their shares
 * @param maxAttempts the most backend servers that one request may be sent to
 * @param timeoutMillis the longest time a caller is kept waiting, in milliseconds
 * @param targetMillis the latency target, in milliseconds
 * @param gapMillis the longest pause between events of a stream that is on time, in
 * milliseconds
 * @param priority the rank, 0 being the most urgent
 * @param open whether no key is needed
 * @param resumable whether streams may be resumed
 */
public record ServiceRoute(String name, String host, String prefix, RouteKind kind, List<WeightedService> services,
		int maxAttempts, long timeoutMillis, long targetMillis, long gapMillis, int priority, boolean open,
		boolean resumable) {

	/**
	 * Creates a route.
	 */
	public ServiceRoute {
		services = List.copyOf(services);
	}

	/**
	 * Returns whether a request may be sent again after it may have run.
	 * @return whether it may be repeated
	 */
	public boolean repeatable() {
		return this.kind.repeatable(this.resumable);
	}

	/**
	 * Picks the service of a request by the weights.
	 * @param random the source of randomness
	 * @return the service, or {@code null} if no service has a weight
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
