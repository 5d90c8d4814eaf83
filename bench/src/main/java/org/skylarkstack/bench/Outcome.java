package org.skylarkstack.bench;

/**
 * What became of a request.
 *
 * @param arrival the request
 * @param tag the caller's own name for it
 * @param vmId the VM that was asked
 * @param sentNanos the planned time of sending, on the monotonic clock
 * @param firstTokenNanos the time of the first token, or 0
 * @param endNanos the time of the end
 * @param status the HTTP status, or 0 if the connection broke before
 * @param verdict the verdict header, or an empty string
 * @param error the name of the error, or an empty string
 * @param tokens the output tokens received
 * @param lateGaps the times between tokens that exceed the target
 * @param endMarkerReceived whether the end marker came
 * @param contentCorrect whether the text is the right one, whole
 * @param dataAfterEnd whether something came after the end marker
 */
public record Outcome(Arrival arrival, String tag, String vmId, long sentNanos, long firstTokenNanos, long endNanos,
		int status, String verdict, String error, int tokens, int lateGaps, boolean endMarkerReceived,
		boolean contentCorrect, boolean dataAfterEnd) {

	/** First-token target in nanoseconds. */
	static final long FIRST_TOKEN_TARGET_NANOS = 520_000_000;

	/** Target between two tokens in nanoseconds. */
	static final long TOKEN_GAP_TARGET_NANOS = 51_000_000;

	/** Share of the gaps of a request that may exceed the target. */
	private static final double MAX_LATE_GAP_SHARE = 0.05;

	static final String NOT_RUN = "not-run";

	boolean isCompletion() {
		return this.arrival.kind().target() == RequestTarget.COMPLETION;
	}

	/**
	 * Returns whether the answer is whole and right.
	 * @return whether it is
	 */
	boolean isComplete() {
		return isCompletion() ? (this.endMarkerReceived && this.contentCorrect) : (this.status / 100 == 2);
	}

	/**
	 * Returns whether the answer met its targets. Batch requests have no latency target
	 * within a run.
	 * @return whether it did
	 */
	boolean meetsTargets() {
		if (!isComplete()) {
			return false;
		}
		if (this.arrival.kind().requestClass().mayWait()) {
			return true;
		}
		return this.firstTokenNanos - this.sentNanos <= FIRST_TOKEN_TARGET_NANOS
				&& this.lateGaps <= MAX_LATE_GAP_SHARE * Math.max(0, this.tokens - 1);
	}

	long usedTokens() {
		return (this.tokens > 0) ? this.arrival.promptTokens() + this.tokens : 0;
	}

	long reservedTokens() {
		return (long) this.arrival.promptTokens() + this.arrival.kind().outputBound();
	}

}
