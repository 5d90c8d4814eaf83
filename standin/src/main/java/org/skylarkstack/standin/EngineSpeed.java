package org.skylarkstack.standin;

/**
 * Speed of a stand-in engine.
 *
 * @param decodeSlots the maximum number of requests in a decode batch
 * @param tokenMicros the duration of a decode step with one request, in microseconds
 * @param batchSlowdown the fraction of {@code tokenMicros} by which each further request
 * lengthens the step
 * @param prefillTokensPerSecond the prefill rate for short prompts, in tokens per second
 * @param prefillBaseMicros the fixed duration of a prefill in microseconds
 * @param transferTokensPerSecond the rate of the KV cache transfer link, in prompt tokens
 * per second
 */
public record EngineSpeed(int decodeSlots, int tokenMicros, double batchSlowdown, int prefillTokensPerSecond,
		int prefillBaseMicros, int transferTokensPerSecond) {

	/** Prompt length in tokens at which the prefill time per token has doubled. */
	private static final double ATTENTION_TOKENS = 64_000;

	private static final double NANOS_PER_SECOND = 1e9;

	private static final long NANOS_PER_MICRO = 1_000;

	/** Rejects slots, times and rates that are not positive. */
	public EngineSpeed {
		if (decodeSlots <= 0 || tokenMicros <= 0 || prefillTokensPerSecond <= 0 || transferTokensPerSecond <= 0) {
			throw new IllegalArgumentException(
					"decode slots, step time, prefill rate and transfer rate must be positive");
		}
	}

	/**
	 * Returns the default speed with a given step time.
	 * @param tokenMicros the duration of a decode step with one request, in microseconds
	 * @return the speed
	 */
	public static EngineSpeed ofTokenMicros(int tokenMicros) {
		return new EngineSpeed(20, tokenMicros, 0.015, 20_000, 1_000, 400_000);
	}

	long stepNanos(int batch) {
		return (long) (this.tokenMicros * NANOS_PER_MICRO * (1 + this.batchSlowdown * Math.max(0, batch - 1)));
	}

	long prefillNanos(int promptTokens, int cachedTokens) {
		double perToken = NANOS_PER_SECOND / this.prefillTokensPerSecond * (1 + promptTokens / ATTENTION_TOKENS);
		return this.prefillBaseMicros * NANOS_PER_MICRO + (long) ((promptTokens - cachedTokens) * perToken);
	}

	long transferNanos(int tokens) {
		return (long) (tokens * NANOS_PER_SECOND / this.transferTokensPerSecond);
	}

}
