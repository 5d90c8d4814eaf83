package org.skylarkstack.bench;

import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Generates the bodies of planned requests. The same arrival of the same run gives the
 * same body.
 */
final class PromptWriter {

	private static final int CHARACTERS_PER_TOKEN = 4;

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

	ObjectNode completionBody(Arrival arrival) {
		RequestKind kind = arrival.kind();
		String context = this.contexts.computeIfAbsent(
				arrival.team().id() + "/" + kind.name() + "/" + arrival.context(),
				(key) -> key + " " + randomWords(key.hashCode(), kind.sharedTokens()));
		String uniqueText = randomWords(arrival.number(), arrival.promptTokens() - kind.sharedTokens());
		ObjectNode body = this.mapper.createObjectNode()
			.put("model", kind.model())
			.put("stream", true)
			.put("max_tokens", kind.outputBound())
			.put("user", tag(arrival))
			.put("service_tier", kind.requestClass().mayExceedFirstTokenTarget() ? "flex" : "auto");
		body.putArray("messages")
			.addObject()
			.put("role", "user")
			.put("content",
					"%s %s [output=%d] %s".formatted(context, uniqueText, arrival.outputTokens(), tag(arrival)));
		return body;
	}

	String entryBody(Arrival arrival) {
		return this.mapper.createObjectNode().put("entry", tag(arrival)).toString();
	}

	private static String randomWords(long seed, int tokens) {
		Random random = new Random(seed);
		StringBuilder text = new StringBuilder();
		while (text.length() < tokens * CHARACTERS_PER_TOKEN) {
			text.append(WORDS[random.nextInt(WORDS.length)]);
		}
		return text.toString();
	}

}
