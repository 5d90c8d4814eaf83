package org.skylarkstack.bench;

import org.skylarkstack.schedule.RequestClass;

/**
 * Kind of request in a load.
 *
 * @param name the name in reports
 * @param target what is asked for
 * @param share the share of all requests
 * @param model the model, or the path of a plain service
 * @param promptTokens the median prompt length in tokens
 * @param sharedTokens the tokens of the prompt that requests of a team have in common
 * @param outputTokens the median output length in tokens
 * @param requestClass the urgency
 */
public record RequestKind(String name, RequestTarget target, double share, String model, int promptTokens,
		int sharedTokens, int outputTokens, RequestClass requestClass) {

	/** Factor between the median output and the bound that callers state. */
	private static final int BOUND_FACTOR = 2;

	static RequestKind service(String name, RequestTarget target, double share, String path) {
		return new RequestKind(name, target, share, path, 0, 0, 0, RequestClass.INTERACTIVE);
	}

	int outputBound() {
		return this.outputTokens * BOUND_FACTOR;
	}

	int reservedTokens() {
		return this.promptTokens + outputBound();
	}

}
