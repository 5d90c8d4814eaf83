package org.skylarkstack.metrics;

import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;

import org.skylarkstack.kernel.ErrorType;

/**
 * Outcome of a request as counted by the metrics.
 */
public enum RequestOutcome {

	/** Answered completely. */
	ANSWERED(false),

	/** Refused because of the team's rate. */
	RATE_LIMITED(false),

	/** Refused because of what the caller sent. */
	REJECTED(false),

	/** Refused because the router could not take it. */
	OVERLOADED(true),

	/** Refused because the store was needed and unavailable. */
	STORE_UNAVAILABLE(true),

	/** Failed after it may have run. */
	FAILED(true),

	/** Given up by the caller. */
	CANCELLED(false);

	private static final Set<ErrorType> STORE_ERRORS = EnumSet.of(ErrorType.CLAIM_UNAVAILABLE,
			ErrorType.STORE_UNAVAILABLE, ErrorType.STALE_KEY_STATE);

	private static final int FIRST_SERVER_STATUS = 500;

	private static final int SERVICE_UNAVAILABLE = 503;

	private final boolean burnsBudget;

	RequestOutcome(boolean burnsBudget) {
		this.burnsBudget = burnsBudget;
	}

	/**
	 * Returns the outcome for an error.
	 * @param type the error type
	 * @return the outcome
	 */
	public static RequestOutcome of(ErrorType type) {
		if (type == ErrorType.RATE_LIMITED) {
			return RATE_LIMITED;
		}
		if (STORE_ERRORS.contains(type)) {
			return STORE_UNAVAILABLE;
		}
		if (type.httpStatus() < FIRST_SERVER_STATUS) {
			return REJECTED;
		}
		return (type.httpStatus() != SERVICE_UNAVAILABLE) ? FAILED : OVERLOADED;
	}

	/**
	 * Returns whether this outcome counts against the error budget.
	 * @return whether it burns the budget
	 */
	public boolean burnsBudget() {
		return this.burnsBudget;
	}

	/**
	 * Returns the value of the outcome label.
	 * @return the label value
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
