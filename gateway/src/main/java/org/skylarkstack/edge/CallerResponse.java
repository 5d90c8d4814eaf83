package org.skylarkstack.edge;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Writes the response to one request of a caller. All methods must be called on the event
 * loop.
 */
public interface CallerResponse {

	/**
	 * States how long the caller waits for the response. Until then, the connection is
	 * not closed as idle while the caller has not read all of it.
	 * @param deadlineNanos the end of that time, on the monotonic clock in nanoseconds
	 */
	void awaitedUntil(long deadlineNanos);

	/**
	 * Sends a complete response.
	 * @param status the HTTP status code
	 * @param headers the headers, without those that delimit the body, such as
	 * {@code Content-Length}
	 * @param body the body, empty if there is none
	 */
	void send(int status, HttpHeaders headers, byte[] body);

	/**
	 * Starts a response of unknown length, which is sent in chunks.
	 * @param status the HTTP status code
	 * @param headers the headers, without those that delimit the body, such as
	 * {@code Content-Length}
	 */
	void start(int status, HttpHeaders headers);

	/**
	 * Sends a part of the body of a started response.
	 * @param part the bytes to send
	 */
	void write(byte[] part);

	/** Completes a started response. */
	void finish();

	/**
	 * Closes the connection without completing the response, so that the caller cannot
	 * take a started response for a complete one.
	 */
	void abort();

	/**
	 * Returns whether the caller reads the response fast enough. After {@code false},
	 * nothing more should be written until the action of {@link #onWritable} runs,
	 * because it would be buffered.
	 * @return whether less than the maximum of bytes is waiting to be sent
	 */
	boolean isWritable();

	/**
	 * Sets the action that runs when the caller has read most of the bytes that were
	 * waiting to be sent.
	 * @param action the action, which may run repeatedly
	 */
	void onWritable(Runnable action);

	/**
	 * Sets the action that runs when the caller closes its connection before the response
	 * is complete.
	 * @param action the action, which runs immediately if the connection is already
	 * closed
	 */
	void onDisconnect(Runnable action);

}
