package org.skylarkstack.standin;

/**
 * What an engine ran for one request and attempt.
 *
 * @param prefills the prefills that were begun
 * @param prefilledTokens the prompt tokens prefilled, without those found in the cache
 * @param cachedTokens the prompt tokens found in the cache
 * @param decodes the decodes that produced a token
 * @param outputTokens the output tokens produced
 * @param finished the decodes that reached their last token
 */
public record EngineRun(int prefills, long prefilledTokens, long cachedTokens, int decodes, long outputTokens,
		int finished) {

	/** Nothing ran. */
	public static final EngineRun NONE = new EngineRun(0, 0, 0, 0, 0, 0);

	/**
	 * Adds another run.
	 * @param other the other run
	 * @return the sum
	 */
	public EngineRun plus(EngineRun other) {
		return new EngineRun(this.prefills + other.prefills, this.prefilledTokens + other.prefilledTokens,
				this.cachedTokens + other.cachedTokens, this.decodes + other.decodes,
				this.outputTokens + other.outputTokens, this.finished + other.finished);
	}

}
