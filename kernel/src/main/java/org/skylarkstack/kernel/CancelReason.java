package org.skylarkstack.kernel;

/**
 * Reasons for ending a request before its answer is whole.
 */
public enum CancelReason {

	/** The caller closed its connection. */
	CALLER_GONE(ErrorType.CALLER_GONE),

	/** The caller's key was withdrawn. */
	KEY_WITHDRAWN(ErrorType.KEY_WITHDRAWN),

	/** The daemon shuts down and the bound for finishing streams has passed. */
	SHUTDOWN(ErrorType.SHUT_DOWN),

	/** Another request with the same content crashed a backend server. */
	CRASH_SUSPECT(ErrorType.CRASH_SUSPECT);

	private final ErrorType errorType;

	CancelReason(ErrorType errorType) {
		this.errorType = errorType;
	}

	/**
	 * Returns the error that ends the request.
	 * @param verdict whether the request may have run
	 * @return the error
	 */
	public RouterException failure(Verdict verdict) {
		return RouterException.of(this.errorType, verdict, null, "1 or more");
	}

}
