package org.skylarkstack.edge;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Receives the events of a call to a backend server. No event follows {@link #ended()} or
 * {@link #failed(BackendFailure)}.
 */
public interface BackendListener {

	/**
	 * Called when the status line and the headers of the response have been received.
	 * @param status the HTTP status code
	 * @param headers the response headers
	 */
	void head(int status, HttpHeaders headers);

	/**
	 * Returns whether the response is a stream of server-sent events, which is complete
	 * only at the end of an event. Called after {@link #head(int, HttpHeaders)}.
	 * @return {@code false} by default
	 */
	default boolean expectsEvents() {
		return false;
	}

	/**
	 * Called when a part of the response body has been received. Does nothing by default.
	 * @param part the received bytes
	 */
	default void data(byte[] part) {
	}

	/** Called when the response is complete. */
	void ended();

	/**
	 * Called when the call has failed.
	 * @param failure the kind of failure, and whether the request may have run
	 */
	void failed(BackendFailure failure);

}
