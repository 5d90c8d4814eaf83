package org.skylarkstack.limit;

/**
 * Decides how long one reservation waits for tokens. A team that has used its tokens is
 * refused almost immediately. A shortage that the team has not caused is waited for:
 * after a start or a change of the owners, the pools have no tokens until loans have
 * arrived, and an owner on a busy VM responds late.
 */
public final class ReserveWait {

	private static final long POLL_NANOS = 20_000_000L;

	private final long grantDeadlineNanos;

	private final long loanDeadlineNanos;

	/**
	 * Starts the wait of one reservation.
	 * @param terms the longest times to wait
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public ReserveWait(LendingTerms terms, long nowNanos) {
		this.grantDeadlineNanos = nowNanos + terms.grantWaitNanos();
		this.loanDeadlineNanos = nowNanos + terms.loanWaitNanos();
	}

	/**
	 * Returns how long the response of the owner may still be awaited.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the time in nanoseconds; at most 0 if no request may be sent any more
	 */
	public long responseNanos(long nowNanos) {
		return this.loanDeadlineNanos - nowNanos;
	}

	/**
	 * Returns the pause before another attempt.
	 * @param outcome the outcome of the last attempt, neither reserved nor requested
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the pause in nanoseconds; 0 if the request must be refused
	 */
	public long pauseNanos(ReserveOutcome outcome, long nowNanos) {
		if (outcome.kind() == ReserveOutcome.Kind.REFUSED) {
			return (outcome.waitNanos() <= this.grantDeadlineNanos - nowNanos) ? outcome.waitNanos() : 0;
		}
		return Math.max(0, Math.min(Math.min(POLL_NANOS, outcome.waitNanos()), this.loanDeadlineNanos - nowNanos));
	}

}
