package org.skylarkstack.http;

import java.util.function.BooleanSupplier;

import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.server.HttpStream;

/**
 * Stream of one exchange whose response announces the end of the connection if the daemon
 * is not ready when the response begins. A shutdown may have begun after the request.
 */
final class ClosingStream extends HttpStream.Wrapper {

	private final BooleanSupplier ready;

	/**
	 * Creates a stream.
	 * @param stream the stream of the server
	 * @param ready whether callers may send further requests on their connections
	 */
	ClosingStream(HttpStream stream, BooleanSupplier ready) {
		super(stream);
		this.ready = ready;
	}

	@Override
	public void prepareResponse(HttpFields.Mutable headers) {
		super.prepareResponse(headers);
		if (!this.ready.getAsBoolean()) {
			headers.put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE);
		}
	}

}
