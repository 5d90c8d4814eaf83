package org.skylarkstack.kernel;

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
	SHUTDOWN(ErrorType.SHUT_DOWN),

	/** Another request with the same content crashed a backend server. */
	CRASH_SUSPECT(ErrorType.CRASH_SUSPECT);

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

}
