package org.skylarkstack.bench;

/**
 * Cost of requests in engine milliseconds.
 *
 * @param prefillMillisPerToken the cost of a prompt token
 * @param decodeMillisPerToken the cost of an output token
 */
record CostModel(double prefillMillisPerToken, double decodeMillisPerToken) {

	double cost(int promptTokens, int outputTokens) {
		return promptTokens * this.prefillMillisPerToken + outputTokens * this.decodeMillisPerToken;
	}

}
