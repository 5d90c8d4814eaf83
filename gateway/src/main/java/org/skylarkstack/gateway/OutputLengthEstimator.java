package org.skylarkstack.gateway;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the output tokens of a request from the caller's estimate and from earlier
 * responses of the route.
 *
 * <p>
 * Callers' estimates are often far too high or too low. The geometric mean of the
 * estimate and the route's mean length corrects them towards that mean.
 */
final class OutputLengthEstimator {

	private static final double SMOOTHING = 0.05;

	private static final double UPPER_DEVIATIONS = 2.0;

	private final Map<String, Double> meanTokens = new HashMap<>();

	// Actual lengths as a multiple of the expected ones.
	private final Map<String, DelayStatistics> lengthRatios = new HashMap<>();

	/**
	 * Updates the statistics of a route with a complete response.
	 * @param route the name of the route, which has its own mean length
	 * @param tokens the number of output tokens
	 * @param expectedTokens the number that was expected of this response
	 */
	void update(String route, long tokens, long expectedTokens) {
		this.meanTokens.merge(route, (double) tokens, (mean, latest) -> mean + SMOOTHING * (latest - mean));
		this.lengthRatios.computeIfAbsent(route, (name) -> new DelayStatistics())
			.update((double) tokens / Math.max(1, expectedTokens));
	}

	/**
	 * Returns the expected number of output tokens.
	 * @param route the name of the route, which has its own mean length
	 * @param facts the caller's statements about the request
	 * @return the number of tokens, at most the limit that the request states
	 */
	long expectedTokens(String route, RequestFacts facts) {
		double mean = this.meanTokens.getOrDefault(route, facts.outputTokens() / 2.0);
		double expected = (facts.expectedOutputTokens() > 0) ? Math.sqrt(mean * facts.expectedOutputTokens()) : mean;
		return (long) Math.min(expected, facts.outputTokens());
	}

	/**
	 * Returns a number of output tokens that few responses exceed.
	 * @param route the name of the route
	 * @param facts the caller's statements about the request
	 * @param expectedTokens the expected number of output tokens
	 * @return the number of tokens, at most the limit that the request states
	 */
	long upperTokens(String route, RequestFacts facts, long expectedTokens) {
		DelayStatistics ratios = this.lengthRatios.get(route);
		double upper = (ratios != null) ? expectedTokens * ratios.upper(UPPER_DEVIATIONS) : facts.outputTokens();
		return (long) Math.min(upper, facts.outputTokens());
	}

}
