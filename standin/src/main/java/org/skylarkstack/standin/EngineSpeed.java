package org.skylarkstack.standin;

/**
 * Speed of a stand-in engine.
 *
 * @param decodeSlots the requests that it decodes at once
 * @param tokenMicros the time of a decode step with one request, in microseconds
 * @param batchSlowdown the share by which each further request lengthens the step
 * @param prefillTokensPerSecond the prefill speed for short prompts, in tokens a second
 * @param prefillBaseMicros the fixed cost of a prefill in microseconds
 * @param transferTokensPerSecond the rate of the transfer link in prompt tokens a second
 */
public record EngineSpeed(int decodeSlots, int tokenMicros, double batchSlowdown, int prefillTokensPerSecond,
		int prefillBaseMicros, int transferTokensPerSecond) {

	/** Prompt length at which the cost of a token has doubled, in tokens. */
	private static final double ATTENTION_TOKENS = 64_000;

	private static final double NANOS_PER_SECOND = 1e9;

	private static final long NANOS_PER_MICRO = 1_000;

	/** Checks the figures. */
	public EngineSpeed {
		if (decodeSlots <= 0 || tokenMicros <= 0 || prefillTokensPerSecond <= 0 || transferTokensPerSecond <= 0) {
			throw new IllegalArgumentException("slots, times and rates of an engine must be positive");
		}
	}

	/**
	 * Returns usual figures with a given step time.
	 * @param tokenMicros the time of a decode step with one request, in microseconds
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
