package org.skylarkstack.engine;

import java.io.IOException;

import okhttp3.Response;
import okio.BufferedSource;

/**
 * Reads complete response bodies of bounded size, so that a server that sends bytes
 * without end cannot fill the heap.
 */
final class BoundedBody {

	private BoundedBody() {
	}

	/**
	 * Reads the body of a response.
	 * @param response the response
	 * @param maxBytes the maximum size of the body in bytes
	 * @return the body
	 * @throws IOException if the body cannot be read or is larger
	 */
	static byte[] read(Response response, long maxBytes) throws IOException {
		BufferedSource source = response.body().source();
		if (source.request(maxBytes + 1)) {
			throw new IOException("the response body is larger than %d bytes".formatted(maxBytes));
		}
		return source.readByteArray();
	}

}
