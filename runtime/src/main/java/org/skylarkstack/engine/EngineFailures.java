package org.skylarkstack.engine;

import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.kernel.Verdict;

/**
 * Maps HTTP error statuses of engines to errors with a verdict.
 */
public final class EngineFailures {

	private static final int BAD_REQUEST = 400;

	private static final int GONE = 410;

	private static final int UNPROCESSABLE = 422;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int SERVICE_UNAVAILABLE = 503;

	private EngineFailures() {
	}

	/**
	 * Maps an HTTP error status. A full engine (429 or 503) refuses a request before it
	 * runs anything. A body that an engine finds invalid (400 or 422) would be refused
	 * again, so the request is not retried.
	 * @param server the id of the engine
	 * @param status the HTTP status
	 * @return the error
	 */
	public static RouterException status(String server, int status) {
		return switch (status) {
			case BAD_REQUEST, UNPROCESSABLE ->
				new RouterException(ErrorType.BAD_REQUEST, "the engine refuses the body with status " + status);
			case GONE -> new RouterException(ErrorType.PREFILL_GONE, server);
			case TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE -> RouterException.of(ErrorType.BACKEND_FAILED, Verdict.NOT_RUN,
					null, server, "it is full, status " + status);
			default ->
				RouterException.of(ErrorType.BACKEND_FAILED, Verdict.MAY_HAVE_RUN, null, server, "status " + status);
		};
	}

}
