package org.skylarkstack.bench;

/**
 * Outcome of a request as observed by the caller.
 *
 * @param arrival the planned request
 * @param tag the identifier that the caller gave the request
 * @param vmId the VM to which the request was sent
 * @param sentNanos the planned send time on the monotonic clock
 * @param firstTokenNanos the time of the first token, or 0 if there was none; the end
 * time for plain services
 * @param endNanos the time at which the response ended or the request failed
 * @param status the HTTP status, or 0 if the connection failed before it was received
 * @param verdict the verdict header, or an empty string
 * @param error the name of the error, or an empty string
 * @param tokens the output tokens received
 * @param lateGaps the number of times between tokens that exceed the target
 * @param endMarkerReceived whether the end marker of the stream was received
 * @param contentCorrect whether the text equals the complete expected text
 * @param dataAfterEnd whether an event was received after the end marker
 */
public record Outcome(Arrival arrival, String tag, String vmId, long sentNanos, long firstTokenNanos, long endNanos,
		int status, String verdict, String error, int tokens, int lateGaps, boolean endMarkerReceived,
		boolean contentCorrect, boolean dataAfterEnd) {

	/** First-token target in nanoseconds. */
	static final long FIRST_TOKEN_TARGET_NANOS = 520_000_000;

	/** Target for the time between two tokens in nanoseconds. */
	static final long TOKEN_GAP_TARGET_NANOS = 51_000_000;

	/** Share of the times between tokens of a request that may exceed the target. */
	private static final double MAX_LATE_GAP_SHARE = 0.05;

	static final String NOT_RUN = "not-run";

	boolean isCompletion() {
		return this.arrival.kind().target() == RequestTarget.COMPLETION;
	}

	/**
	 * Returns whether the response is complete and correct.
	 * @return for a completion whether the end marker and the expected text were
	 * received, otherwise whether the status is 2xx
	 */
	boolean isComplete() {
		return isCompletion() ? (this.endMarkerReceived && this.contentCorrect) : (this.status / 100 == 2);
	}

	/**
	 * Returns whether the response is complete and met its latency targets. Batch
	 * requests have no latency target within a run.
	 * @return whether the targets were met
	 */
	boolean meetsTargets() {
		if (!isComplete()) {
			return false;
		}
		if (this.arrival.kind().requestClass().mayExceedFirstTokenTarget()) {
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
