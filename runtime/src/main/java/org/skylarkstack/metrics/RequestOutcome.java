package org.skylarkstack.metrics;

import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;

import org.skylarkstack.kernel.ErrorType;

/**
 * Outcome of a request, used as a metric label.
 */
public enum RequestOutcome {

	/** Completed with a full response. */
	ANSWERED(false),

	/** Rejected because the team exceeded its rate limit. */
	RATE_LIMITED(false),

	/** Rejected because of an error in the caller's request. */
	REJECTED(false),

	/** Rejected because the router or the engines could not accept it. */
	OVERLOADED(true),

	/** Rejected because it needed the store, which was unavailable. */
	STORE_UNAVAILABLE(true),

	/** Failed at a backend server or because of an internal error. */
	FAILED(true),

	/** Cancelled because the caller disconnected. */
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
	 * @return whether it uses up error budget
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
