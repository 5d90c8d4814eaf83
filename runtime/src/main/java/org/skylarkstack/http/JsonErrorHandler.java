package org.skylarkstack.http;

import java.nio.charset.StandardCharsets;

import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.handler.ErrorHandler;
import org.eclipse.jetty.util.Callback;
import org.jspecify.annotations.Nullable;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;

/**
 * Writes JSON error responses for requests that Jetty rejects before any handler is
 * called, for example because of malformed or oversized headers. Such a request cannot
 * have run.
 */
final class JsonErrorHandler extends ErrorHandler {

	private static final int SERVER_ERROR = 500;

	@Override
	protected void generateResponse(Request request, Response response, int code, @Nullable String message,
			@Nullable Throwable cause, Callback callback) {
		RouterException failure = (code < SERVER_ERROR)
				? new RouterException(ErrorType.BAD_HEADERS, "HTTP status %d, %s".formatted(code, message))
				: new RouterException(ErrorType.INTERNAL);
		response.getHeaders().put(ErrorResponse.VERDICT, failure.verdict().headerValue());
		response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
		byte[] body = ErrorResponse.json(failure).toString().getBytes(StandardCharsets.UTF_8);
		response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
		Content.Sink.write(response, true, new String(body, StandardCharsets.UTF_8), callback);
	}

}
