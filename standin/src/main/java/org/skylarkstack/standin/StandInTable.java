package org.skylarkstack.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Table with transactions over items in DynamoDB's JSON form.
 */
final class StandInTable {

	private final TreeMap<String, JsonNode> items = new TreeMap<>();

	static String keyOf(JsonNode attributes) {
		return key(attributes.path("pk").path("S").asText(), attributes.path("sk").path("S").asText());
	}

	private static String key(String partition, String sort) {
		return partition + '\0' + sort;
	}

	synchronized Optional<JsonNode> get(String key) {
		return Optional.ofNullable(this.items.get(key));
	}

	synchronized List<JsonNode> query(String partition, String afterSort, int limit) {
		return this.items.subMap(key(partition, afterSort), false, partition + '\1', false)
			.values()
			.stream()
			.limit(limit)
			.toList();
	}

	synchronized ObjectNode transact(JsonNode actions) {
		ObjectNode answer = JsonNodeFactory.instance.objectNode();
		List<Boolean> holds = new ArrayList<>();
		actions.forEach((action) -> holds.add(conditionHolds(action)));
		if (holds.contains(false)) {
			answer.put("__type", "com.amazonaws.dynamodb.v20120810#TransactionCanceledException");
			answer.put("message", "Transaction cancelled");
			ArrayNode reasons = answer.putArray("CancellationReasons");
			holds.forEach((held) -> reasons.addObject().put("Code", held ? "None" : "ConditionalCheckFailed"));
			return answer;
		}
		actions.forEach(this::apply);
		return answer;
	}

	private boolean conditionHolds(JsonNode action) {
		JsonNode write = action.elements().next();
		JsonNode attributes = action.has("Put") ? write.path("Item") : write.path("Key");
		JsonNode present = this.items.get(keyOf(attributes));
		String expression = write.path("ConditionExpression").asText("");
		return switch (expression) {
			case "" -> true;
			case "attribute_not_exists(pk)" -> present == null;
			case "#c = :c" ->
				present != null && present.path(write.path("ExpressionAttributeNames").path("#c").asText())
					.equals(write.path("ExpressionAttributeValues").path(":c"));
			default -> throw new IllegalArgumentException("condition %s is not supported".formatted(expression));
		};
	}

	private void apply(JsonNode action) {
		if (action.has("Put")) {
			JsonNode item = action.path("Put").path("Item");
			this.items.put(keyOf(item), item);
		}
		else {
			this.items.remove(keyOf(action.path("Delete").path("Key")));
		}
	}

}
