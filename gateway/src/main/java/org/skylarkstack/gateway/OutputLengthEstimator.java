package org.skylarkstack.gateway;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates the output tokens of a request from the caller's estimate and from the
 * answers that the route has had.
 *
 * <p>
 * Callers' estimates are often far off in either direction; the geometric mean with the
 * usual length pulls them towards it.
 */
final class OutputLengthEstimator {

	private static final double SMOOTHING = 0.05;

	private final Map<String, Double> meanTokens = new HashMap<>();

	/**
	 * Takes note of a whole answer.
	 * @param route the route
	 * @param tokens the tokens of the answer
	 */
	void update(String route, long tokens) {
		this.meanTokens.merge(route, (double) tokens, (mean, latest) -> mean + SMOOTHING * (latest - mean));
	}

	/**
	 * Returns the tokens to expect.
	 * @param route the route
	 * @param facts what the caller says
	 * @return the tokens, at most the bound of the request
	 */
	long expectedTokens(String route, RequestFacts facts) {
		double mean = this.meanTokens.getOrDefault(route, facts.outputTokens() / 2.0);
		double expected = (facts.expectedOutputTokens() > 0) ? Math.sqrt(mean * facts.expectedOutputTokens()) : mean;
		return (long) Math.min(expected, facts.outputTokens());
	}

}
