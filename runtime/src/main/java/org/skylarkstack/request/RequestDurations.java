package org.skylarkstack.request;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;

/**
 * Estimates how long requests take, from the requests that this VM has completed.
 *
 * <p>
 * The estimate for a completion is its time to the first token plus its output tokens
 * times the time between tokens. The number of output tokens is estimated from
 * completions with a similar output bound. Without any completed request, the latency
 * targets and the output bound are used.
 */
public final class RequestDurations {

	private static final int MAX_KEYS = 4_096;

	private static final double USUAL_SHARE = 0.9;

	private static final long FIRST_TOKEN_TARGET_NANOS = 520_000_000L;

	private static final long TOKEN_GAP_TARGET_NANOS = 51_000_000L;

	private static final long UNKNOWN_SERVICE_NANOS = 1_000_000_000L;

	private final Cache<String, RecentValues> services = newCache();

	private final Cache<String, RecentValues> firstTokens = newCache();

	private final Cache<String, RecentValues> tokenGaps = newCache();

	private final Cache<String, RecentValues> outputs = newCache();

	private static Cache<String, RecentValues> newCache() {
		return Caffeine.newBuilder().maximumSize(MAX_KEYS).build();
	}

	private static RecentValues values(Cache<String, RecentValues> cache, String key) {
		return cache.get(key, (missing) -> new RecentValues());
	}

	private static String outputKey(String model, int outputBound) {
		return model + '/' + Integer.highestOneBit(outputBound);
	}

	void recordService(String routeId, long nanos) {
		values(this.services, routeId).record(nanos);
	}

	/**
	 * Estimates the duration of a request to a plain service.
	 * @param routeId the id of the route
	 * @param idempotent whether the request may run more than once; if not, the estimate
	 * is the longest recent duration
	 * @return the duration in nanoseconds
	 */
	long serviceNanos(String routeId, boolean idempotent) {
		return values(this.services, routeId).quantile(idempotent ? USUAL_SHARE : 1).orElse(UNKNOWN_SERVICE_NANOS);
	}

	/**
	 * Records a complete response that was sent in one attempt.
	 * @param request the request
	 * @param firstTokenNanos the time from the placement to the first token in
	 * nanoseconds
	 * @param streamNanos the time from the first to the last token in nanoseconds
	 * @param tokens the number of output tokens
	 */
	void recordCompletion(CompletionRequest request, long firstTokenNanos, long streamNanos, int tokens) {
		values(this.firstTokens, request.model()).record(firstTokenNanos);
		values(this.outputs, outputKey(request.model(), request.maxOutputTokens())).record(tokens);
		if (tokens > 1) {
			values(this.tokenGaps, request.model()).record(streamNanos / (tokens - 1));
		}
	}

	/**
	 * Estimates the time from the placement of a completion to its last token.
	 * @param request the request
	 * @param delivered the number of output tokens that the caller already has
	 * @return the duration in nanoseconds
	 */
	long completionNanos(CompletionRequest request, int delivered) {
		int bound = request.maxOutputTokens();
		long output = values(this.outputs, outputKey(request.model(), bound)).quantile(USUAL_SHARE).orElse(bound);
		return completionNanos(request.model(), Math.min(bound, output) - delivered, USUAL_SHARE);
	}

	/**
	 * Returns the time from the placement of a completion to its last token if it uses
	 * all its output tokens, as slowly as the slowest recent completion.
	 * @param request the request
	 * @return the duration in nanoseconds
	 */
	long longestCompletionNanos(CompletionRequest request) {
		return completionNanos(request.model(), request.maxOutputTokens(), 1);
	}

	private long completionNanos(String model, long tokens, double share) {
		long gap = values(this.tokenGaps, model).quantile(share).orElse(TOKEN_GAP_TARGET_NANOS);
		return values(this.firstTokens, model).quantile(share).orElse(FIRST_TOKEN_TARGET_NANOS)
				+ (Math.max(1, tokens) - 1) * gap;
	}

}
