package org.skylarkstack.response;

/**
 * Decides whether a response is complete when its input has ended. A response that ends
 * too early must not look complete to its caller.
 *
 * <p>
 * A body with a length or chunks is complete when it has reached its own end, which the
 * HTTP client checks. A body with neither ends with its connection, so that it is
 * complete only if neither a read nor a write has failed before: a failed write may take
 * the error from the socket, and the next read then reports the end of the input.
 */
public final class ResponseCompleteness {

	private final boolean framed;

	/**
	 * Creates the state of a response whose head has been received.
	 * @param framed whether the body has a length or chunks, or cannot exist
	 */
	public ResponseCompleteness(boolean framed) {
		this.framed = framed;
	}

	/**
	 * Returns whether the response is complete.
	 * @param connectionFailed whether a read or a write of the connection has failed, or
	 * it was closed without the end of the input
	 * @return whether the response may be passed on as complete
	 */
	public boolean isComplete(boolean connectionFailed) {
		return this.framed || !connectionFailed;
	}

}
