package org.skylarkstack.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.schedule.RequestClass;

/**
 * Checked completion request of a caller.
 *
 * @param path the API path
 * @param body the JSON body as sent
 * @param model the model
 * @param stream whether the answer is streamed
 * @param promptTokens the estimated prompt tokens
 * @param maxOutputTokens the bound of the output tokens
 * @param requestClass the urgency
 */
public record CompletionRequest(String path, ObjectNode body, String model, boolean stream, int promptTokens,
		int maxOutputTokens, RequestClass requestClass) {

	/** Output bound of requests that state none. */
	public static final int DEFAULT_OUTPUT_TOKENS = 512;

	private static final int BYTES_PER_TOKEN = 4;

	/**
	 * Checks a body.
	 * @param path the API path
	 * @param body the JSON body
	 * @return the request
	 * @throws RouterException with {@link ErrorType#BAD_REQUEST} if a field is missing or
	 * wrong
	 */
	public static CompletionRequest parse(String path, JsonNode body) {
		if (!(body instanceof ObjectNode object)) {
			throw new RouterException(ErrorType.BAD_REQUEST, "the body must be a JSON object");
		}
		JsonNode model = object.path("model");
		if (!model.isTextual()) {
			throw new RouterException(ErrorType.BAD_REQUEST, "model must be a string");
		}
		JsonNode prompt = path.endsWith("/chat/completions") ? object.path("messages") : object.path("prompt");
		if (prompt.isMissingNode() || prompt.isNull()) {
			throw new RouterException(ErrorType.BAD_REQUEST, "messages or prompt is missing");
		}
		int promptTokens = Math.max(1, prompt.toString().length() / BYTES_PER_TOKEN);
		return new CompletionRequest(path, object, model.asText(), object.path("stream").asBoolean(false), promptTokens,
				outputBound(object), requestClass(object));
	}

	private static int outputBound(ObjectNode body) {
		JsonNode bound = body.has("max_completion_tokens") ? body.path("max_completion_tokens")
				: body.path("max_tokens");
		if (bound.isMissingNode() || bound.isNull()) {
			return DEFAULT_OUTPUT_TOKENS;
		}
		if (!bound.canConvertToInt() || bound.asInt() <= 0) {
			throw new RouterException(ErrorType.BAD_REQUEST, "max_tokens must be a positive integer");
		}
		return bound.asInt();
	}

	private static RequestClass requestClass(ObjectNode body) {
		return switch (body.path("service_tier").asText("auto")) {
			case "flex", "batch" -> RequestClass.BATCH;
			default -> RequestClass.INTERACTIVE;
		};
	}

}
