package org.skylarkstack.http;

import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.request.ResponseSink;

/**
 * Assembles the chunks of a completion stream into one JSON response.
 *
 * <p>
 * The merge rules apply to every field, so that fields unknown to this code are kept too.
 * Within a choice, strings are concatenated, objects are merged, array items with an
 * {@code index} are merged with the item of the same index, and other items are appended.
 * The strings in {@code REPLACED_TEXTS}, such as role, id, type and name, and all values
 * of other types replace the previous value, except that null never replaces a value.
 * Outside the choices, the last non-null value wins.
 */
final class ResponseAssembler implements ResponseSink {

	private static final String CHOICES = "choices";

	private static final String INDEX = "index";

	private static final String DELTA = "delta";

	private static final Set<String> REPLACED_TEXTS = Set.of("role", "id", "type", "name", "finish_reason",
			"stop_reason");

	private final ObjectMapper mapper;

	private final boolean chat;

	private final ObjectNode response;

	private final Map<Integer, ObjectNode> choices = new TreeMap<>();

	ResponseAssembler(ObjectMapper mapper, String path) {
		this.mapper = mapper;
		this.chat = path.endsWith("/chat/completions");
		this.response = mapper.createObjectNode();
	}

	@Override
	public void event(String data) {
		JsonNode chunk = parse(data);
		chunk.properties().forEach((field) -> {
			if (!field.getKey().equals(CHOICES) && !field.getValue().isNull()) {
				this.response.set(field.getKey(), field.getValue());
			}
		});
		for (JsonNode choice : chunk.path(CHOICES)) {
			if (choice instanceof ObjectNode object) {
				merge(this.choices.computeIfAbsent(object.path(INDEX).asInt(0),
						(index) -> this.mapper.createObjectNode()), object);
			}
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

	private void merge(ObjectNode target, ObjectNode source) {
		source.properties().forEach((field) -> {
			String name = field.getKey();
			JsonNode value = field.getValue();
			JsonNode former = target.get(name);
			if (former == null || former.isNull()) {
				if (value instanceof ArrayNode items) {
					append(target.putArray(name), items);
				}
				else {
					target.set(name, value.deepCopy());
				}
			}
			else if (value instanceof ObjectNode object && former instanceof ObjectNode into) {
				merge(into, object);
			}
			else if (value instanceof ArrayNode items && former instanceof ArrayNode into) {
				append(into, items);
			}
			else if (value.isTextual() && former.isTextual() && !REPLACED_TEXTS.contains(name)) {
				target.put(name, former.asText() + value.asText());
			}
			else if (!value.isNull()) {
				target.set(name, value);
			}
		});
	}

	private void append(ArrayNode target, ArrayNode items) {
		for (JsonNode item : items) {
			ObjectNode same = item.has(INDEX) ? find(target, item.path(INDEX).asInt()) : null;
			if (same != null && item instanceof ObjectNode object) {
				merge(same, object);
			}
			else {
				target.add(item.deepCopy());
			}
		}
	}

	private static @org.jspecify.annotations.Nullable ObjectNode find(ArrayNode items, int index) {
		for (JsonNode item : items) {
			if (item.path(INDEX).asInt(-1) == index && item instanceof ObjectNode object) {
				return object;
			}
		}
		return null;
	}

	ObjectNode response() {
		this.response.put("object", this.chat ? "chat.completion" : "text_completion");
		ArrayNode list = this.response.putArray(CHOICES);
		this.choices.forEach((index, choice) -> list.add(this.chat ? chatChoice(index, choice) : choice));
		return this.response;
	}

	private ObjectNode chatChoice(int index, ObjectNode choice) {
		ObjectNode message = this.mapper.createObjectNode().put("role", "assistant").putNull("content");
		if (choice.remove(DELTA) instanceof ObjectNode delta) {
			message.setAll(delta);
		}
		for (JsonNode call : message.path("tool_calls")) {
			((ObjectNode) call).remove(INDEX);
		}
		ObjectNode complete = this.mapper.createObjectNode().put(INDEX, index);
		complete.set("message", message);
		choice.remove(INDEX);
		complete.setAll(choice);
		return complete;
	}

}
