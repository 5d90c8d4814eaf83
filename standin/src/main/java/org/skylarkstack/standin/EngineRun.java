package org.skylarkstack.standin;

/**
 * Counts of the work that an engine did for one request and attempt.
 *
 * @param prefills the number of prefills that were started
 * @param prefilledTokens the number of tokens prefilled, without those found in the
 * prefix cache
 * @param cachedTokens the number of prompt tokens found in the prefix cache
 * @param decodes the number of decodes that produced at least one token
 * @param outputTokens the number of output tokens produced
 * @param finished the number of decodes that reached their last token
 */
public record EngineRun(int prefills, long prefilledTokens, long cachedTokens, int decodes, long outputTokens,
		int finished) {

	/** Counts of a request for which no work was done. */
	public static final EngineRun NONE = new EngineRun(0, 0, 0, 0, 0, 0);

	/**
	 * Adds the counts of another run.
	 * @param other the counts to add
	 * @return the sums
	 */
	public EngineRun plus(EngineRun other) {
		return new EngineRun(this.prefills + other.prefills, this.prefilledTokens + other.prefilledTokens,
				this.cachedTokens + other.cachedTokens, this.decodes + other.decodes,
				this.outputTokens + other.outputTokens, this.finished + other.finished);
	}

}
