package org.skylarkstack.request;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.misc.Hashes;
import org.skylarkstack.schedule.RequestClass;

/**
 * Validated completion request of a caller.
 *
 * @param path the API path
 * @param body the JSON body as sent
 * @param model the name of the model
 * @param stream whether the response is streamed
 * @param promptTokens the estimated number of prompt tokens
 * @param maxOutputTokens the limit on output tokens, summed over all choices
 * @param requestClass interactive or batch
 * @param idempotent whether the request may run more than once
 */
public record CompletionRequest(String path, ObjectNode body, String model, boolean stream, int promptTokens,
		int maxOutputTokens, RequestClass requestClass, boolean idempotent) {

	/** Output token limit, for each choice, of requests that set none. */
	public static final int DEFAULT_OUTPUT_TOKENS = 512;

	private static final int BYTES_PER_TOKEN = 4;

	private static final int INTERACTIVE_PRIORITY = 0;

	private static final int BATCH_PRIORITY = 1;

	// The limit of the OpenAI API.
	private static final int MAX_CHOICES = 128;

	// Long conversations share their history with few other requests.
	private static final int MAX_SHARED_MESSAGES = 64;

	// Larger than the output of any model; multiplied by the number of choices it still
	// fits into an int.
	private static final int MAX_OUTPUT_TOKENS = 1_000_000;

	/**
	 * Validates a request body.
	 * @param path the API path
	 * @param body the JSON body
	 * @param idempotent whether the request may run more than once
	 * @return the request
	 * @throws RouterException with {@link ErrorType#BAD_REQUEST} if a field is missing or
	 * invalid
	 */
	public static CompletionRequest parse(String path, JsonNode body, boolean idempotent) {
		if (!(body instanceof ObjectNode object)) {
			throw new RouterException(ErrorType.BAD_REQUEST, "the body must be a JSON object");
		}
		JsonNode model = object.path("model");
		if (!model.isTextual() || model.asText().isEmpty()) {
			throw new RouterException(ErrorType.BAD_REQUEST, "model must be a string");
		}
		JsonNode stream = object.path("stream");
		if (!stream.isMissingNode() && !stream.isNull() && !stream.isBoolean()) {
			throw new RouterException(ErrorType.BAD_REQUEST, "stream must be a boolean");
		}
		int promptTokens = Math.max(1, prompt(path, object).toString().length() / BYTES_PER_TOKEN);
		int choices = positive(object, "n", 1, MAX_CHOICES);
		return new CompletionRequest(path, object, model.asText(), stream.asBoolean(false), promptTokens,
				choices * outputBound(object), requestClass(object), idempotent);
	}

	private static JsonNode prompt(String path, ObjectNode body) {
		boolean chat = path.endsWith("/chat/completions");
		JsonNode prompt = chat ? body.path("messages") : body.path("prompt");
		if (chat && (!prompt.isArray() || prompt.isEmpty())) {
			throw new RouterException(ErrorType.BAD_REQUEST, "messages must be an array that is not empty");
		}
		if (!prompt.isTextual() && !prompt.isArray()) {
			throw new RouterException(ErrorType.BAD_REQUEST, "prompt must be a string or an array");
		}
		return prompt;
	}

	private static int outputBound(ObjectNode body) {
		String field = body.hasNonNull("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
		return positive(body, field, DEFAULT_OUTPUT_TOKENS, MAX_OUTPUT_TOKENS);
	}

	private static int positive(ObjectNode body, String field, int defaultValue, int max) {
		JsonNode value = body.path(field);
		if (value.isMissingNode() || value.isNull()) {
			return defaultValue;
		}
		if (!value.isIntegralNumber() || !value.canConvertToInt() || value.asInt() <= 0 || value.asInt() > max) {
			throw new RouterException(ErrorType.BAD_REQUEST,
					"%s must be an integer from 1 to %d".formatted(field, max));
		}
		return value.asInt();
	}

	private static RequestClass requestClass(ObjectNode body) {
		return switch (body.path("service_tier").asText("auto")) {
			case "flex", "batch" -> RequestClass.BATCH;
			default -> RequestClass.INTERACTIVE;
		};
	}

	/**
	 * Returns the body to send to engines. It states the output limit, because the team's
	 * tokens were reserved for that limit. Its priority is that of the request class and
	 * replaces the caller's own value: engines serve lower values first. If the response
	 * is assembled by this router, the body asks for the usage.
	 * @return a copy of the body
	 */
	public ObjectNode engineBody() {
		ObjectNode engineBody = this.body.deepCopy();
		engineBody.put("max_tokens", outputBound(this.body));
		engineBody.put("priority",
				this.requestClass.mayExceedFirstTokenTarget() ? BATCH_PRIORITY : INTERACTIVE_PRIORITY);
		if (!this.stream) {
			engineBody.putObject("stream_options").put("include_usage", true);
		}
		return engineBody;
	}

	/**
	 * Returns keys of the messages that other requests may have in common with this one:
	 * all but the last, which is the question itself.
	 * @return hashes of the model and the message, in the order of the messages; empty if
	 * the prompt has no messages
	 */
	public List<String> sharedMessages() {
		JsonNode messages = this.body.path("messages");
		List<String> keys = new ArrayList<>();
		for (int index = Math.max(0, messages.size() - 1 - MAX_SHARED_MESSAGES); index < messages.size() - 1; index++) {
			keys.add(Hashes.sha256(this.model + '\n' + messages.get(index)));
		}
		return keys;
	}

	/**
	 * Returns the fingerprint by which re-sends of the request are recognized.
	 * @param teamId the id of the team
	 * @return the hash of team, path and body
	 */
	public String fingerprint(String teamId) {
		return Hashes.sha256(teamId + '\n' + this.path + '\n' + this.body);
	}

}
