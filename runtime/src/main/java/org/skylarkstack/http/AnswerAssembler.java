package org.skylarkstack.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.request.AnswerSink;

/**
 * Assembles a whole answer from the events of a stream.
 */
final class AnswerAssembler implements AnswerSink {

	private final ObjectMapper mapper;

	private final boolean chat;

	private final StringBuilder text = new StringBuilder();

	private final ObjectNode answer;

	private String finishReason = "";

	AnswerAssembler(ObjectMapper mapper, String path) {
		this.mapper = mapper;
		this.chat = path.endsWith("/chat/completions");
		this.answer = mapper.createObjectNode();
	}

	@Override
	public void event(String data) {
		JsonNode chunk = parse(data);
		for (String field : new String[] { "id", "created", "model", "usage" }) {
			if (chunk.hasNonNull(field)) {
				this.answer.set(field, chunk.get(field));
			}
		}
		JsonNode choice = chunk.path("choices").path(0);
		this.text.append(choice.path("delta").path("content").asText(choice.path("text").asText("")));
		if (choice.hasNonNull("finish_reason")) {
			this.finishReason = choice.path("finish_reason").asText();
		}
	}

	private JsonNode parse(String data) {
		try {
			return this.mapper.readTree(data);
		}
		catch (JsonProcessingException ex) {
			throw new RouterException(ErrorType.BACKEND_FAILED, "engine", "an event is not valid JSON");
		}
	}

	ObjectNode answer() {
		this.answer.put("object", this.chat ? "chat.completion" : "text_completion");
		ObjectNode choice = this.answer.putArray("choices").addObject().put("index", 0);
		if (this.chat) {
			choice.putObject("message").put("role", "assistant").put("content", this.text.toString());
		}
		else {
			choice.put("text", this.text.toString());
		}
		choice.put("finish_reason", this.finishReason);
		return this.answer;
	}

}
