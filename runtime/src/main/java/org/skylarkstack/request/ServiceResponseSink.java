package org.skylarkstack.request;

import java.io.IOException;
import java.util.List;

/**
 * Receives the response of a plain service and passes it to the caller.
 */
public interface ServiceResponseSink {

	/**
	 * Starts the response.
	 * @param status the HTTP status
	 * @param headers the headers that may be forwarded to the caller
	 * @param contentLength the length of the body in bytes, or -1 if it is unknown
	 */
	void begin(int status, List<Header> headers, long contentLength);

	/**
	 * Passes a part of the body to the caller.
	 * @param buffer contains the part
	 * @param length the number of bytes, from the start of the buffer
	 * @throws IOException if the caller closed its connection
	 */
	void write(byte[] buffer, int length) throws IOException;

}
