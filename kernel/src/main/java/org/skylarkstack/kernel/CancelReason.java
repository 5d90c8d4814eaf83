package org.skylarkstack.kernel;

import java.time.Duration;

/**
 * Reasons for cancelling a request before its response is complete.
 */
public enum CancelReason {

	/** The caller closed its connection. */
	CALLER_GONE(ErrorType.CALLER_GONE),

	/** The caller's API key was withdrawn. */
	KEY_WITHDRAWN(ErrorType.KEY_WITHDRAWN),

	/**
	 * The daemon is shutting down, and the time limit for finishing streams has passed.
	 */
	SHUTDOWN(ErrorType.SHUT_DOWN) {
		@Override
		public RouterException failure(Verdict verdict) {
			return (verdict == Verdict.NOT_RUN) ? RouterException.retryAfter(ErrorType.NOT_READY, RETRY_AFTER)
					: super.failure(verdict);
		}

		@Override
		public boolean abortsNonIdempotent() {
			return true;
		}
	},

	/** Another request with the same content crashed a backend server. */
	CRASH_SUSPECT(ErrorType.CRASH_SUSPECT);

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private final ErrorType errorType;

	CancelReason(ErrorType errorType) {
		this.errorType = errorType;
	}

	/**
	 * Returns the exception that ends the cancelled request.
	 * @param verdict whether the request may have run
	 * @return the exception
	 */
	public RouterException failure(Verdict verdict) {
		return RouterException.of(this.errorType, verdict, null, "1 or more");
	}

	/**
	 * Returns whether a call of a backend server is aborted although its request must not
	 * be repeated. Otherwise the call goes on, because its outcome matters more than the
	 * work that aborting would save.
	 * @return whether the call is aborted
	 */
	public boolean abortsNonIdempotent() {
		return false;
	}

}
