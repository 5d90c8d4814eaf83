package org.skylarkstack.configuration;

import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.PathType;
import com.networknt.schema.SchemaValidatorsConfig;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;

/**
 * Parses tickets that operators submit and checks them against the JSON schema.
 * Violations are collected rather than thrown, so that the response to the operator lists
 * them together with all other problems.
 */
public final class TicketReader {

	private static final String SCHEMA_RESOURCE = "/org/skylarkstack/configuration/ticket.schema.json";

	private final ObjectMapper mapper = new ObjectMapper();

	private final JsonSchema schema = loadSchema();

	/**
	 * Parses a ticket.
	 * @param json the ticket in JSON
	 * @return the draft with all schema violations
	 * @throws RouterException with {@link ErrorType#BAD_REQUEST} if the bytes are not
	 * valid JSON
	 */
	public TicketDraft read(byte[] json) {
		try {
			return read(this.mapper.readTree(json));
		}
		catch (JsonProcessingException ex) {
			throw new RouterException(ErrorType.BAD_REQUEST,
					"the ticket is not valid JSON: " + ex.getOriginalMessage());
		}
		catch (IOException ex) {
			throw new RouterException(ErrorType.BAD_REQUEST, "the ticket could not be read");
		}
	}

	/**
	 * Checks a ticket that was built by a program.
	 * @param ticket the ticket
	 * @return the draft with all schema violations
	 */
	public TicketDraft read(Ticket ticket) {
		return read((JsonNode) this.mapper.valueToTree(ticket));
	}

	private TicketDraft read(JsonNode json) {
		Set<String> problems = new TreeSet<>();
		Set<Integer> invalidIndexes = new HashSet<>();
		for (ValidationMessage violation : this.schema.validate(json)) {
			// The message starts with the JSON pointer and never contains a value, which
			// might be an API key.
			problems.add(violation.getMessage());
			changeIndex(violation).ifPresent(invalidIndexes::add);
		}
		List<TicketChange> changes = new ArrayList<>();
		Map<ObjectKey, Set<ObjectKey>> unreadable = new HashMap<>();
		for (int index = 0; index < json.path("changes").size(); index++) {
			JsonNode change = json.path("changes").get(index);
			try {
				if (invalidIndexes.contains(index)) {
					ObjectKey key = this.mapper.treeToValue(change.path("key"), ObjectKey.class);
					if (unreadable.put(key, references(change.path("object"))) != null) {
						problems.add("/changes/%d: the object is changed twice".formatted(index));
					}
				}
				else {
					changes.add(this.mapper.treeToValue(change, TicketChange.class));
				}
			}
			catch (JsonProcessingException | IllegalArgumentException ex) {
				if (!invalidIndexes.contains(index)) {
					problems.add("/changes/%d: %s".formatted(index, rootMessage(ex)));
				}
			}
		}
		return new TicketDraft(Math.max(0, json.path("number").asLong()), json.path("author").asText(""), changes,
				unreadable, List.copyOf(problems));
	}

	private static Set<ObjectKey> references(JsonNode object) {
		Set<ObjectKey> references = new HashSet<>();
		if (object.path("teamId").isTextual()) {
			references.add(new ObjectKey(ObjectKind.TEAM, object.path("teamId").asText()));
		}
		if (object.path("serviceId").isTextual()) {
			references.add(new ObjectKey(ObjectKind.SERVICE, object.path("serviceId").asText()));
		}
		return references;
	}

	private static String rootMessage(Throwable failure) {
		Throwable root = failure;
		while (root.getCause() != null) {
			root = root.getCause();
		}
		return (root instanceof JsonProcessingException json) ? json.getOriginalMessage()
				: String.valueOf(root.getMessage());
	}

	private static Optional<Integer> changeIndex(ValidationMessage violation) {
		String[] path = violation.getInstanceLocation().toString().split("/", -1);
		return (path.length > 2 && "changes".equals(path[1])) ? Optional.of(Integer.parseInt(path[2]))
				: Optional.empty();
	}

	private static JsonSchema loadSchema() {
		try (InputStream stream = TicketReader.class.getResourceAsStream(SCHEMA_RESOURCE)) {
			if (stream == null) {
				throw new IllegalStateException("resource %s is missing".formatted(SCHEMA_RESOURCE));
			}
			SchemaValidatorsConfig config = SchemaValidatorsConfig.builder().pathType(PathType.JSON_POINTER).build();
			return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012).getSchema(stream, config);
		}
		catch (IOException ex) {
			throw new IllegalStateException("resource %s cannot be read".formatted(SCHEMA_RESOURCE), ex);
		}
	}

}
