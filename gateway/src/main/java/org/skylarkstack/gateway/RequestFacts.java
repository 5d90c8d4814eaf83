package org.skylarkstack.gateway;

import org.jspecify.annotations.Nullable;

/**
 * What a caller says about its request.
 *
 * @param requestId the identifier of this attempt of the caller
 * @param host the host as sent
 * @param key the caller's key, or {@code null}
 * @param timeoutMillis how long the caller waits, in milliseconds, or a negative number
 * if it does not say
 * @param promptTokens the tokens of the prompt, or a negative number if not stated
 * @param outputTokens the bound of the output tokens
 * @param expectedOutputTokens the caller's estimate of the output tokens, or a negative
 * number if it gives none
 * @param lastEventId the last event that the caller has, or {@code null}
 */
public record RequestFacts(String requestId, String host, @Nullable String key, long timeoutMillis, long promptTokens,
		long outputTokens, long expectedOutputTokens, @Nullable String lastEventId) {

	/**
	 * Returns the tokens that the request states.
	 * @return prompt and output tokens, or a negative number if not stated
	 */
	public long statedTokens() {
		return (this.promptTokens < 0) ? -1 : this.promptTokens + this.outputTokens;
	}

}
