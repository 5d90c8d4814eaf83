package org.skylarkstack.edge;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpStatusClass;

/**
 * Encodes responses. Responses to {@code HEAD} have no body.
 */
final class CallerResponseEncoder extends HttpResponseEncoder {

	private final CallerConnection connection;

	CallerResponseEncoder(CallerConnection connection) {
		this.connection = connection;
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpResponse response) {
		boolean informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
		return (!informational && this.connection.respondsToHead()) || super.isContentAlwaysEmpty(response);
	}

}
