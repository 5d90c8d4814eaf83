package org.skylarkstack.gateway;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the time until the response of a request is complete, from the responses that
 * were complete before. The estimates contain a margin that nearly all responses stay
 * below.
 */
public final class CompletionTimeEstimator {

	// Responses with a longer time are broken off when a daemon stops, which costs their
	// callers more than a refusal.
	private static final double RESPONSE_DEVIATIONS = 4.0;

	private static final double INTERVAL_DEVIATIONS = 2.0;

	private final Map<String, DelayStatistics> responseMillis = new HashMap<>();

	private final Map<String, DelayStatistics> tokenMillis = new HashMap<>();

	/**
	 * Adds the time of a response that was not a stream.
	 * @param route the name of the route
	 * @param millis the time from sending the request to the complete response, in
	 * milliseconds
	 */
	void recordResponse(String route, long millis) {
		this.responseMillis.computeIfAbsent(route, (name) -> new DelayStatistics()).update(millis);
	}

	/**
	 * Adds the time of a complete stream.
	 * @param service the name of the service whose engine generated it
	 * @param tokens the number of output tokens
	 * @param millis the time from its first event to its end, in milliseconds
	 */
	void recordStream(String service, long tokens, long millis) {
		if (tokens > 0) {
			this.tokenMillis.computeIfAbsent(service, (name) -> new DelayStatistics()).update((double) millis / tokens);
		}
	}

	/**
	 * Returns the time that a response of a route takes.
	 * @param route the name of the route
	 * @param targetMillis the latency target of the route, in milliseconds
	 * @param maxMillis the longest time that it may take, in milliseconds
	 * @return the estimate in milliseconds; the latency target if no response is known
	 */
	long responseMillis(String route, long targetMillis, long maxMillis) {
		DelayStatistics known = this.responseMillis.get(route);
		return Math.min(maxMillis, (known != null) ? (long) known.upper(RESPONSE_DEVIATIONS) : targetMillis);
	}

	/**
	 * Returns the time that an engine takes to generate tokens.
	 * @param service the name of the service
	 * @param tokens the number of output tokens
	 * @param maxMillis the longest time that it may take, in milliseconds
	 * @return the estimate in milliseconds; {@code maxMillis} if no stream is known
	 */
	long streamMillis(String service, long tokens, long maxMillis) {
		DelayStatistics known = this.tokenMillis.get(service);
		return (known != null) ? Math.min(maxMillis, (long) (tokens * known.upper(INTERVAL_DEVIATIONS))) : maxMillis;
	}

}
