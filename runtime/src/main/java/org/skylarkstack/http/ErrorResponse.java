package org.skylarkstack.http;

import java.time.Duration;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.http.Context;
import org.jspecify.annotations.Nullable;
import org.skylarkstack.kernel.RouterException;

/**
 * Writes error responses in the JSON format of the caller API.
 */
final class ErrorResponse {

	/** Response header that states whether the request may have run. */
	static final String VERDICT = "X-Skylark-Verdict";

	private static final long MILLIS_PER_SECOND = 1_000;

	private ErrorResponse() {
	}

	static ObjectNode json(RouterException failure) {
		ObjectNode response = JsonNodeFactory.instance.objectNode();
		response.putObject("error")
			.put("message", failure.getMessage())
			.put("type", failure.type().apiType())
			.put("code", failure.type().code())
			.put("name", failure.type().name())
			.put("verdict", failure.verdict().headerValue());
		return response;
	}

	static void write(Context context, RouterException failure) {
		context.status(failure.httpStatus());
		context.header(VERDICT, failure.verdict().headerValue());
		Duration retryAfter = retryAfter(failure);
		if (retryAfter != null) {
			long seconds = (retryAfter.toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
			context.header("Retry-After", Long.toString(Math.max(1, seconds)));
		}
		context.contentType("application/json").result(json(failure).toString());
	}

	// Returns the time after which a retry is useful, or null for errors that are
	// not expected to resolve with time.
	private static @Nullable Duration retryAfter(RouterException failure) {
		if (failure.retryAfter() != null) {
			return failure.retryAfter();
		}
		return switch (failure.type()) {
			case TOO_MANY_REQUESTS, DEADLINE_UNREACHABLE, QUEUE_FULL, NO_ENGINE, NOT_READY, CLAIM_UNAVAILABLE,
					CLAIM_IN_PROGRESS, STALE_KEY_STATE, BACKEND_UNREACHABLE ->
				Duration.ofSeconds(1);
			default -> null;
		};
	}

}
