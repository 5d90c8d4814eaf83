package org.skylarkstack.request;

import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.kernel.Verdict;

/**
 * Decides whether a failed attempt is followed by another one.
 *
 * <p>
 * A retry from the start is charged to the budget. A resume is not: it saves the tokens
 * that were already produced, and the number of attempts bounds it.
 */
public final class RetryPolicy {

	/** Most attempts of one request. */
	public static final int MAX_ATTEMPTS = 4;

	private final RetryBudget budget;

	/**
	 * Creates a policy.
	 * @param budget bounds the retries
	 */
	public RetryPolicy(RetryBudget budget) {
		this.budget = budget;
	}

	/**
	 * Decides about the next attempt.
	 * @param failure the failure of the last attempt
	 * @param verdict what all attempts so far allow to say
	 * @param attempts the number of attempts so far
	 * @param idempotent whether the request may run more than once
	 * @param deliveredTokens the tokens that the caller already has
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return whether another attempt may go ahead
	 */
	public boolean permits(RouterException failure, Verdict verdict, int attempts, boolean idempotent,
			int deliveredTokens, long nowNanos) {
		boolean backendFault = switch (failure.type()) {
			case BACKEND_FAILED, BACKEND_UNREACHABLE, BACKEND_TIMEOUT, PREFILL_GONE -> true;
			default -> false;
		};
		return backendFault && attempts < MAX_ATTEMPTS && verdict.permitsRetry(idempotent)
				&& (deliveredTokens > 0 || this.budget.tryRetry(nowNanos));
	}

}
