package org.skylarkstack.bench;

import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Writes the bodies of planned requests. The same arrival gives the same body.
 */
final class PromptWriter {

	private static final int TOKEN_CHARACTERS = 4;

	private static final String[] WORDS = { "pump ", "seal ", "flow ", "meal ", "class ", "pupil ", "valve ", "motor ",
			"shift ", "visit " };

	private final ObjectMapper mapper = new ObjectMapper();

	private final Map<String, String> contexts = new ConcurrentHashMap<>();

	private final String runId;

	PromptWriter(String runId) {
		this.runId = runId;
	}

	String tag(Arrival arrival) {
		return "bench-" + this.runId + "-" + arrival.number();
	}

	ObjectNode completion(Arrival arrival) {
		RequestKind kind = arrival.kind();
		String context = this.contexts.computeIfAbsent(
				arrival.team().id() + "/" + kind.name() + "/" + arrival.context(),
				(name) -> name + " " + words(name.hashCode(), kind.sharedTokens()));
		String own = words(arrival.number(), arrival.promptTokens() - kind.sharedTokens());
		ObjectNode body = this.mapper.createObjectNode()
			.put("model", kind.model())
			.put("stream", true)
			.put("max_tokens", kind.outputBound())
			.put("user", tag(arrival))
			.put("service_tier", kind.requestClass().mayWait() ? "flex" : "auto");
		body.putArray("messages")
			.addObject()
			.put("role", "user")
			.put("content", "%s %s [output=%d] %s".formatted(context, own, arrival.outputTokens(), tag(arrival)));
		return body;
	}

	String entry(Arrival arrival) {
		return this.mapper.createObjectNode().put("entry", tag(arrival)).toString();
	}

	private static String words(long seed, int tokens) {
		Random random = new Random(seed);
		StringBuilder text = new StringBuilder();
		while (text.length() < tokens * TOKEN_CHARACTERS) {
			text.append(WORDS[random.nextInt(WORDS.length)]);
		}
		return text.toString();
	}

}
