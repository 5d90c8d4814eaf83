package org.skylarkstack.engine;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;

import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.kernel.Verdict;

/**
 * Translates failures of HTTP calls into errors with a verdict.
 */
public final class EngineFailures {

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int SERVICE_UNAVAILABLE = 503;

	private EngineFailures() {
	}

	/**
	 * Translates a failed call. Only a failed connect proves that no byte was sent.
	 * @param server the backend server
	 * @param failure the failure
	 * @return the error
	 */
	public static RouterException translate(String server, IOException failure) {
		if (failure instanceof ConnectException || failure instanceof NoRouteToHostException) {
			return RouterException.of(ErrorType.BACKEND_UNREACHABLE, Verdict.NOT_RUN, failure, server);
		}
		if (failure instanceof InterruptedIOException) {
			return RouterException.of(ErrorType.BACKEND_TIMEOUT, Verdict.MAY_HAVE_RUN, failure, server,
					"the idle bound in");
		}
		return RouterException.of(ErrorType.BACKEND_FAILED, Verdict.MAY_HAVE_RUN, failure, server,
				String.valueOf(failure.getMessage()));
	}

	/**
	 * Translates an error status of an engine. An engine that is full refuses before it
	 * runs anything.
	 * @param server the engine
	 * @param status the HTTP status
	 * @return the error
	 */
	public static RouterException status(String server, int status) {
		boolean refused = status == TOO_MANY_REQUESTS || status == SERVICE_UNAVAILABLE;
		return RouterException.of(ErrorType.BACKEND_FAILED, refused ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN, null,
				server, "status " + status);
	}

}
