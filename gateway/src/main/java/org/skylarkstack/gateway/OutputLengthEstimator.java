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

	private final Map<String, Double> meanTokens = new HashMap<>();

	/**
	 * Updates the mean length of a route with a complete response.
	 * @param route the name of the route, which has its own mean length
	 * @param tokens the number of output tokens
	 */
	void update(String route, long tokens) {
		this.meanTokens.merge(route, (double) tokens, (mean, latest) -> mean + SMOOTHING * (latest - mean));
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

}
