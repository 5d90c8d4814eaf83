package org.skylarkstack.limit;

/**
 * Terms of the leases of rate slots, of loans and of token grants. All times are in
 * nanoseconds.
 *
 * @param slotLeaseNanos the term of the lease of a rate slot
 * @param slotRenewalNanos the time between two renewals of a slot
 * @param slotRetryNanos the longest time between two attempts to claim a slot or to
 * repeat a failed renewal
 * @param loanTermNanos the term of a loan
 * @param grantTermNanos the term of a token grant
 * @param driftShare the allowance for clock drift, as a share of each term
 * @param grantWaitNanos the longest time that a reservation waits for tokens of a team
 * that has used its tokens
 * @param loanWaitNanos the longest time that a reservation waits while it is unknown
 * whether the team has tokens, because a loan or a response of the owner has not arrived
 */
public record LendingTerms(long slotLeaseNanos, long slotRenewalNanos, long slotRetryNanos, long loanTermNanos,
		long grantTermNanos, double driftShare, long grantWaitNanos, long loanWaitNanos) {

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	/**
	 * A loan is usable for its term minus one grant term, the age of the echoed timestamp
	 * and the time until its renewal; the last two are up to one heartbeat period each.
	 * With a term of 3 s, a team got 48 % of its rate.
	 */
	private static final long MIN_LOAN_TERM_SECONDS = 5;

	/** A loan is sent with the next heartbeat, and again with the one after it. */
	private static final int HEARTBEATS_UNTIL_LOAN = 2;

	/** Longest time that a reservation waits for a loan in a large fleet. */
	private static final long MAX_LOAN_WAIT_SECONDS = 2;

	/** Checks that a loan lasts longer than the grants that it backs. */
	public LendingTerms {
		if (loanTermNanos <= grantTermNanos * (1 + driftShare)) {
			throw new IllegalArgumentException(
					"the loan term must be longer than the grant term with its drift allowance");
		}
	}

	/**
	 * Returns the default terms of a fleet.
	 * @param heartbeatPeriodNanos the heartbeat period in nanoseconds
	 * @return the terms
	 */
	public static LendingTerms forPeriod(long heartbeatPeriodNanos) {
		return new LendingTerms(4 * 3600 * NANOS_PER_SECOND, 300 * NANOS_PER_SECOND, 2 * NANOS_PER_SECOND,
				Math.max(MIN_LOAN_TERM_SECONDS * NANOS_PER_SECOND, 3 * heartbeatPeriodNanos), 2 * NANOS_PER_SECOND,
				0.01, 8_000_000L,
				Math.min(MAX_LOAN_WAIT_SECONDS * NANOS_PER_SECOND, HEARTBEATS_UNTIL_LOAN * heartbeatPeriodNanos));
	}

	/**
	 * Returns a term extended by the allowance for clock drift. The side that must not
	 * regard the term as ended before the other side does counts the extended term.
	 * @param termNanos the term in nanoseconds
	 * @return the extended term in nanoseconds
	 */
	public long withDriftAllowance(long termNanos) {
		return termNanos + (long) Math.ceil(termNanos * this.driftShare);
	}

	/**
	 * Returns the longest time that a slice needs to move to a new owner: the former loan
	 * and the grants that it backs end first, and a heartbeat carries the new loan.
	 * @return the time in nanoseconds
	 */
	public long settlingNanos() {
		return withDriftAllowance(this.loanTermNanos) + withDriftAllowance(this.grantTermNanos) + this.loanWaitNanos;
	}

}
