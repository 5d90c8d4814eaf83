package org.skylarkstack.edge;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Receives the answer to one request of a caller. All methods run on the event loop.
 */
public interface CallerAnswer {

	/**
	 * Sends a whole answer.
	 * @param status the HTTP status
	 * @param headers the headers, without those that frame the body
	 * @param body the body
	 */
	void send(int status, HttpHeaders headers, byte[] body);

	/**
	 * Starts an answer of unknown length.
	 * @param status the HTTP status
	 * @param headers the headers, without those that frame the body
	 */
	void start(int status, HttpHeaders headers);

	/**
	 * Sends a part of a started answer.
	 * @param part the bytes
	 */
	void write(byte[] part);

	/** Ends a started answer as complete. */
	void finish();

	/** Breaks the connection so that a started answer cannot look complete. */
	void abort();

	/**
	 * Sets what happens when the caller closes its connection before the answer is whole.
	 * @param action the action, run at once if the caller is gone already
	 */
	void onGone(Runnable action);

}
