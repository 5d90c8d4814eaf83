package org.skylarkstack.standin;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * In-memory table with transactional writes. Items are in DynamoDB's JSON format.
 */
final class StandInTable {

	/** Item size limit of DynamoDB. */
	private static final int MAX_ITEM_BYTES = 400 * 1024;

	/** Size limit of a query page in DynamoDB. */
	private static final int MAX_PAGE_BYTES = 1024 * 1024;

	/** Limit of the actions in a DynamoDB transaction. */
	private static final int MAX_ACTIONS = 100;

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

	// A page ends at 1 MB, as in DynamoDB.
	synchronized List<JsonNode> query(String partition, String afterSort, int limit) {
		List<JsonNode> page = new ArrayList<>();
		int bytes = 0;
		for (JsonNode item : this.items.subMap(key(partition, afterSort), false, partition + '\1', false).values()) {
			bytes += itemBytes(item);
			if (page.size() == limit || (bytes > MAX_PAGE_BYTES && !page.isEmpty())) {
				break;
			}
			page.add(item);
		}
		return page;
	}

	synchronized Map<String, JsonNode> copy() {
		return Map.copyOf(this.items);
	}

	/**
	 * Replaces all items by those of an earlier copy.
	 * @param copy the copy
	 */
	synchronized void restore(Map<String, JsonNode> copy) {
		this.items.clear();
		this.items.putAll(copy);
	}

	private static int itemBytes(JsonNode item) {
		int bytes = 0;
		for (Map.Entry<String, JsonNode> attribute : item.properties()) {
			bytes += utf8Length(attribute.getKey()) + utf8Length(attribute.getValue().path("S").asText());
		}
		return bytes;
	}

	private static int utf8Length(String text) {
		return text.getBytes(StandardCharsets.UTF_8).length;
	}

	synchronized ObjectNode transact(JsonNode actions) {
		ObjectNode response = JsonNodeFactory.instance.objectNode();
		if (actions.isEmpty() || actions.size() > MAX_ACTIONS || !sizesAllowed(actions)) {
			return response.put("__type", "com.amazon.coral.validate#ValidationException")
				.put("message", "too many actions or item size has exceeded the maximum allowed size");
		}
		List<Boolean> conditionResults = new ArrayList<>();
		actions.forEach((action) -> conditionResults.add(conditionHolds(action)));
		if (conditionResults.contains(false)) {
			response.put("__type", "com.amazonaws.dynamodb.v20120810#TransactionCanceledException");
			response.put("message", "Transaction cancelled");
			ArrayNode reasons = response.putArray("CancellationReasons");
			conditionResults
				.forEach((passed) -> reasons.addObject().put("Code", passed ? "None" : "ConditionalCheckFailed"));
			return response;
		}
		actions.forEach(this::apply);
		return response;
	}

	private static boolean sizesAllowed(JsonNode actions) {
		for (JsonNode action : actions) {
			if (itemBytes(action.path("Put").path("Item")) > MAX_ITEM_BYTES) {
				return false;
			}
		}
		return true;
	}

	private boolean conditionHolds(JsonNode action) {
		JsonNode write = action.elements().next();
		JsonNode attributes = action.has("Put") ? write.path("Item") : write.path("Key");
		JsonNode stored = this.items.get(keyOf(attributes));
		String expression = write.path("ConditionExpression").asText("");
		return switch (expression) {
			case "" -> true;
			case "attribute_not_exists(pk)" -> stored == null;
			case "#c = :c" -> stored != null && stored.path(write.path("ExpressionAttributeNames").path("#c").asText())
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
