package org.skylarkstack.request;

import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.kernel.Verdict;

/**
 * Decides whether a failed attempt is followed by another one.
 *
 * <p>
 * A retry from the beginning is charged to the retry budget. A resume is not charged: it
 * keeps the tokens that were already generated, and the limit on attempts bounds it.
 */
public final class RetryPolicy {

	/** Maximum number of attempts of one request. */
	public static final int MAX_ATTEMPTS = 4;

	private final RetryBudget budget;

	/**
	 * Creates a policy.
	 * @param budget limits the retries
	 */
	public RetryPolicy(RetryBudget budget) {
		this.budget = budget;
	}

	/**
	 * Decides whether another attempt is allowed.
	 * @param failure the failure of the last attempt
	 * @param verdict the combined verdict of all attempts so far
	 * @param attempts the number of attempts so far
	 * @param idempotent whether the request may run more than once
	 * @param deliveredTokens the number of tokens that the caller already has
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return whether another attempt is allowed
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
