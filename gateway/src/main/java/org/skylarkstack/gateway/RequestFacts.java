package org.skylarkstack.gateway;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Properties of a request, as stated by its caller.
 *
 * @param requestId the identifier of this attempt of the caller
 * @param host the host as sent, possibly with a port
 * @param key the caller's key, or {@code null} if it sent none
 * @param timeoutMillis the timeout of the caller in milliseconds, or a negative number if
 * not stated
 * @param promptTokens the number of tokens of the prompt, or a negative number if not
 * stated
 * @param outputTokens the maximum number of output tokens
 * @param expectedOutputTokens the caller's estimate of the number of output tokens, or a
 * negative number if not stated
 * @param lastEventId the identifier of the last event that the caller has received, or
 * {@code null}
 * @param sharedParts the identifiers of the parts of the prompt that other requests may
 * have in common with it, in order; empty if not stated
 */
public record RequestFacts(String requestId, String host, @Nullable String key, long timeoutMillis, long promptTokens,
		long outputTokens, long expectedOutputTokens, @Nullable String lastEventId, List<String> sharedParts) {

	/**
	 * Creates the facts with an unmodifiable copy of the list.
	 */
	public RequestFacts {
		sharedParts = List.copyOf(sharedParts);
	}

	/**
	 * Returns the number of tokens that the request states.
	 * @return the sum of prompt and maximum output tokens, or a negative number if the
	 * prompt tokens are not stated
	 */
	public long statedTokens() {
		return (this.promptTokens < 0) ? -1 : this.promptTokens + this.outputTokens;
	}

}
