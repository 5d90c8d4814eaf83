package org.skylarkstack.edge;

/**
 * Call to a backend server that is in progress.
 */
public interface BackendCall {

	/**
	 * Cancels the call by closing its connection. The listener receives no further
	 * events.
	 */
	void cancel();

	/**
	 * Returns whether a byte of the request may have been sent.
	 * @return {@code false} as long as no connection has been established
	 */
	boolean sent();

	/**
	 * Pauses or resumes reading the response. While reading is paused, the server can
	 * send only as much as fits into the socket buffers.
	 * @param reading whether to read
	 */
	void setReading(boolean reading);

}
