package org.skylarkstack.membership;

import org.jspecify.annotations.Nullable;

/**
 * Creates and accepts the loans of rate slices that heartbeats carry. Called on the
 * membership thread.
 */
public interface LoanExchange {

	/**
	 * Returns the loan to send to a peer with the next heartbeat. The lender counts the
	 * duration of the loan from {@code nowNanos}.
	 * @param peer the receiving VM
	 * @param incarnation the receiver's incarnation that the heartbeat echoes
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the loan, or {@code null} for none
	 */
	@Nullable LoanOffer offer(String peer, long incarnation, long nowNanos);

	/**
	 * Accepts a loan.
	 * @param lender the lending VM
	 * @param incarnation the lender's incarnation
	 * @param offer the loan
	 * @param countedFromNanos the start of the loan: this VM's own timestamp that the
	 * heartbeat echoed
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void accept(String lender, long incarnation, LoanOffer offer, long countedFromNanos, long nowNanos);

}
