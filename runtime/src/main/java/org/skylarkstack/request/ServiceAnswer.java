package org.skylarkstack.request;

import java.io.IOException;
import java.util.List;

/**
 * Receives the answer of a plain service for the caller.
 */
public interface ServiceAnswer {

	/**
	 * Begins the answer.
	 * @param status the HTTP status
	 * @param headers the headers that may pass to the caller
	 * @param contentLength the length of the body in bytes, or -1 if it is not known
	 */
	void begin(int status, List<Header> headers, long contentLength);

	/**
	 * Passes a part of the body on.
	 * @param buffer holds the part
	 * @param length the number of bytes, from the start of the buffer
	 * @throws IOException if the caller is gone
	 */
	void write(byte[] buffer, int length) throws IOException;

}
