package org.skylarkstack.standin;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.skylarkstack.misc.Hashes;

/**
 * Body of a completion request, and the response of a stand-in engine to it. The output
 * text depends only on the model, the prompt and the token offset.
 */
final class CompletionBody {

	/**
	 * Marker in a prompt that gives the offset at which the output stops, as when a model
	 * ends its output before the token limit.
	 */
	private static final Pattern OUTPUT_MARKER = Pattern.compile("\\[output=(\\d+)\\]");

	private static final int DEFAULT_OUTPUT_TOKENS = 16;

	private static final String[] WORDS = { "term", "meal", "pump", "valve", "pupil", "count", "day", "week", "part",
			"check", "list", "visit", "note", "level", "flow", "class" };

	private final JsonNode body;

	private final boolean chat;

	private final String prompt;

	private final long textSeed;

	private final String chunkPrefix;

	CompletionBody(ObjectMapper mapper, JsonNode body, String requestId) {
		this.body = body;
		this.chat = body.has("messages");
		this.prompt = (this.chat ? body.path("messages") : body.path("prompt")).toString();
		this.textSeed = Hashes.stable64(body.path("model").asText() + '\n' + this.prompt);
		ObjectNode head = mapper.createObjectNode()
			.put("id", "cmpl-" + requestId)
			.put("object", this.chat ? "chat.completion.chunk" : "text_completion")
			.put("created", 0)
			.put("model", body.path("model").asText());
		this.chunkPrefix = head.toString();
	}

	String prompt() {
		return this.prompt;
	}

	int promptTokens() {
		return PrefixBlocks.tokens(this.prompt);
	}

	int priority() {
		return this.body.path("priority").asInt(0);
	}

	boolean streamed() {
		return this.body.path("stream").asBoolean(false);
	}

	boolean prefillOnly() {
		return transferParams().path("do_remote_decode").asBoolean();
	}

	boolean importsPrefill() {
		return transferParams().path("do_remote_prefill").asBoolean();
	}

	JsonNode transferParams() {
		return this.body.path("kv_transfer_params");
	}

	int outputTokens() {
		return Math.min(maxTokens(), markedOutputTokens());
	}

	private int maxTokens() {
		return this.body.path("max_completion_tokens").asInt(this.body.path("max_tokens").asInt(DEFAULT_OUTPUT_TOKENS));
	}

	private int markedOutputTokens() {
		Matcher marker = OUTPUT_MARKER.matcher(this.prompt);
		return marker.find() ? Math.max(1, Integer.parseInt(marker.group(1))) : Integer.MAX_VALUE;
	}

	String text(int offset) {
		long hash = (this.textSeed ^ offset) * 0x9E3779B97F4A7C15L;
		return " " + WORDS[(int) (hash >>> 60)] + offset;
	}

	private String finishReason(int offset) {
		if (offset < outputTokens()) {
			return "null";
		}
		return (markedOutputTokens() <= maxTokens()) ? "\"stop\"" : "\"length\"";
	}

	String chunk(int offset) {
		// Built by string concatenation because a stand-in serves tens of thousands of
		// tokens per second.
		String content = this.chat ? "\"delta\":{\"content\":\"" + text(offset) + "\"}"
				: "\"text\":\"" + text(offset) + "\"";
		return this.chunkPrefix.substring(0, this.chunkPrefix.length() - 1) + ",\"choices\":[{\"index\":0," + content
				+ ",\"finish_reason\":" + finishReason(offset) + "}]}";
	}

	boolean wantsUsage() {
		return this.body.path("stream_options").path("include_usage").asBoolean();
	}

	String usageChunk() {
		return this.chunkPrefix.substring(0, this.chunkPrefix.length() - 1) + ",\"choices\":[]," + usage() + "}";
	}

	private String usage() {
		return "\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"total_tokens\":%d}".formatted(promptTokens(),
				outputTokens(), promptTokens() + outputTokens());
	}

	String fullText() {
		StringBuilder text = new StringBuilder();
		for (int offset = 1; offset <= outputTokens(); offset++) {
			text.append(text(offset));
		}
		return text.toString();
	}

	String fullResponse() {
		String text = fullText();
		String content = this.chat ? "\"message\":{\"role\":\"assistant\",\"content\":\"" + text + "\"}"
				: "\"text\":\"" + text + "\"";
		String head = this.chunkPrefix.replace("chat.completion.chunk", "chat.completion");
		return head.substring(0, head.length() - 1) + ",\"choices\":[{\"index\":0," + content + ",\"finish_reason\":"
				+ finishReason(outputTokens()) + "}]," + usage() + "}";
	}

}
