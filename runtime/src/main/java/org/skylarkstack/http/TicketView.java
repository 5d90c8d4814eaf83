package org.skylarkstack.http;

import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.skylarkstack.configuration.Configuration;
import org.skylarkstack.configuration.Ticket;
import org.skylarkstack.configuration.TicketStatus;
import org.skylarkstack.configuration.VersionedObject;

/**
 * Builds the JSON that operators get for tickets and for the configuration. Key hashes
 * are truncated, so that a response does not help to identify a key.
 */
final class TicketView {

	private static final String KEY_HASH = "keyHash";

	private static final int SHOWN_HASH_DIGITS = 8;

	private final ObjectMapper mapper = new ObjectMapper();

	ObjectNode ticket(Ticket ticket, String contentHash) {
		ObjectNode view = this.mapper.valueToTree(ticket);
		truncateKeyHashes(view);
		return view.put("state", "recorded").put("contentHash", contentHash);
	}

	ObjectNode ticket(Ticket ticket, String contentHash, TicketStatus status) {
		ObjectNode view = ticket(ticket, contentHash);
		view.set("inForceOn", this.mapper.valueToTree(status.inForceOn()));
		view.set("notConfirmed", this.mapper.valueToTree(status.notConfirmed()));
		return view;
	}

	ObjectNode summary(Configuration configuration) {
		ObjectNode view = this.mapper.createObjectNode().put("appliedNumber", configuration.appliedNumber());
		Map<String, Integer> counts = new TreeMap<>();
		configuration.objects().forEach((key, state) -> counts.merge(key.kind().name(), live(state), Integer::sum));
		view.set("objects", this.mapper.valueToTree(counts));
		view.set("models", this.mapper.valueToTree(configuration.models()));
		return view;
	}

	private static int live(VersionedObject state) {
		return (state.object() != null) ? 1 : 0;
	}

	private static void truncateKeyHashes(JsonNode node) {
		if (node instanceof ObjectNode object && object.path(KEY_HASH).isTextual()) {
			object.put(KEY_HASH, object.path(KEY_HASH).asText().substring(0, SHOWN_HASH_DIGITS) + "...");
		}
		node.forEach(TicketView::truncateKeyHashes);
	}

}
