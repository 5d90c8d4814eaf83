package org.skylarkstack.edge;

import org.skylarkstack.kernel.Verdict;

/**
 * Reason why a call to a backend server ended without a complete response.
 *
 * @param kind the kind of failure
 * @param verdict whether the backend server may have run the request
 */
public record BackendFailure(Kind kind, Verdict verdict) {

	/**
	 * Returns whether the server may have received anything.
	 * @return {@code false} if no connection was established
	 */
	public boolean reachedServer() {
		return this.kind != Kind.UNREACHABLE;
	}

	/**
	 * Kinds of failure.
	 */
	public enum Kind {

		/** No connection was established, and no byte was sent. */
		UNREACHABLE,

		/**
		 * The connection was closed or reset after the request may have been sent, and
		 * before the response was complete, or the response ended inside an event.
		 */
		BROKEN,

		/** The server sent bytes that are not a valid HTTP response. */
		MALFORMED,

		/** The response exceeded the maximum size of a body or of an event. */
		OVERSIZED,

		/** The server sent nothing within the time limit. */
		SILENT,

		/**
		 * The server responded with the status of a refusal, but did not state that it
		 * has not run the request.
		 */
		UNPROVEN_REFUSAL

	}

}
