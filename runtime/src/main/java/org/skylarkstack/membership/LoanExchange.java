package org.skylarkstack.membership;

import org.jspecify.annotations.Nullable;

/**
 * Hook through which heartbeats carry loans of rate slices. Called on the membership
 * thread.
 */
public interface LoanExchange {

	/**
	 * Returns what is lent to a peer with the heartbeat that is about to be sent. The
	 * lender counts the term from {@code nowNanos}.
	 * @param peer the receiving VM
	 * @param incarnation the receiver's incarnation that the heartbeat echoes
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the loan, or {@code null} for none
	 */
	@Nullable LoanOffer offer(String peer, long incarnation, long nowNanos);

	/**
	 * Takes a loan.
	 * @param lender the lending VM
	 * @param incarnation the lender's incarnation
	 * @param offer the loan
	 * @param countedFromNanos this VM's own timestamp that the heartbeat echoed
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void accept(String lender, long incarnation, LoanOffer offer, long countedFromNanos, long nowNanos);

}
