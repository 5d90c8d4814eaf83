package org.skylarkstack.bench;

import org.skylarkstack.schedule.RequestClass;

/**
 * Kind of request in a load.
 *
 * @param name the name used in prompts
 * @param target the operation
 * @param share the share of all requests
 * @param model the model, or the path of a plain service
 * @param promptTokens the median prompt length in tokens
 * @param sharedTokens the length of the prompt prefix that requests of a team share, in
 * tokens
 * @param outputTokens the median output length in tokens
 * @param requestClass the class, interactive or batch
 */
public record RequestKind(String name, RequestTarget target, double share, String model, int promptTokens,
		int sharedTokens, int outputTokens, RequestClass requestClass) {

	/** Ratio of the output limit that callers state to the median output length. */
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
