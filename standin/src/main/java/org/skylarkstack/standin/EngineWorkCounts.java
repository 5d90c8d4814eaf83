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
public record EngineWorkCounts(int prefills, long prefilledTokens, long cachedTokens, int decodes, long outputTokens,
		int finished) {

	/** Counts of a request for which no work was done. */
	public static final EngineWorkCounts NONE = new EngineWorkCounts(0, 0, 0, 0, 0, 0);

	/**
	 * Adds other counts to these.
	 * @param other the counts to add
	 * @return the sums
	 */
	public EngineWorkCounts plus(EngineWorkCounts other) {
		return new EngineWorkCounts(this.prefills + other.prefills, this.prefilledTokens + other.prefilledTokens,
				this.cachedTokens + other.cachedTokens, this.decodes + other.decodes,
				this.outputTokens + other.outputTokens, this.finished + other.finished);
	}

}
