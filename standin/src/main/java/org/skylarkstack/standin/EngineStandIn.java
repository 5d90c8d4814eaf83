package org.skylarkstack.standin;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;

/**
 * Stand-in for a model engine. It speaks the engine side of
 * {@link org.skylarkstack.engine.HttpEngineClient}.
 */
public final class EngineStandIn implements AutoCloseable {

	private final ObjectMapper mapper = new ObjectMapper();

	private final String id;

	private final int tokenMillis;

	private final AtomicInteger running = new AtomicInteger();

	private final HttpStandIn server;

	/**
	 * Starts an engine.
	 * @param id the engine
	 * @param port the port on loopback, or 0 for a free one
	 * @param tokenMillis the time between two output tokens in milliseconds
	 */
	public EngineStandIn(String id, int port, int tokenMillis) {
		this.id = id;
		this.tokenMillis = tokenMillis;
		this.server = new HttpStandIn(port, this::register);
	}

	private void register(JavalinConfig config) {
		config.routes.post("/v1/chat/completions", this::complete);
		config.routes.post("/v1/completions", this::complete);
		config.routes.get("/metrics",
				(context) -> context.result("engine_requests_running " + this.running.get() + "\n"));
	}

	/**
	 * Returns the base URL.
	 * @return the URL without a trailing slash
	 */
	public String url() {
		return this.server.url();
	}

	private void complete(Context context) throws IOException {
		JsonNode body = this.mapper.readTree(context.bodyAsBytes());
		context.header("X-Request-Id", Optional.ofNullable(context.header("X-Request-Id")).orElse(""));
		if (body.path("kv_transfer_params").path("do_remote_decode").asBoolean()) {
			prefill(context, body);
		}
		else {
			decode(context, body);
		}
	}

	private void prefill(Context context, JsonNode body) {
		ObjectNode answer = this.mapper.createObjectNode();
		answer.putObject("kv_transfer_params").put("do_remote_prefill", true).put("remote_engine_id", this.id);
		answer.putObject("usage").put("prompt_tokens", promptTokens(body));
		context.contentType("application/json").result(answer.toString());
	}

	private static int promptTokens(JsonNode body) {
		JsonNode prompt = body.has("messages") ? body.path("messages") : body.path("prompt");
		return Math.max(1, prompt.toString().length() / 4);
	}

	private void decode(Context context, JsonNode body) throws IOException {
		this.running.incrementAndGet();
		try {
			context.contentType("text/event-stream");
			OutputStream output = context.outputStream();
			int first = Integer.parseInt(Optional.ofNullable(context.header("Last-Event-ID")).orElse("0"));
			int last = body.path("max_tokens").asInt(16);
			for (int token = first + 1; token <= last; token++) {
				Thread.sleep(this.tokenMillis);
				write(output, "id: " + token + "\ndata: " + chunk(context, body, token, token == last) + "\n\n");
			}
			write(output, "data: [DONE]\n\n");
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			this.running.decrementAndGet();
		}
	}

	private ObjectNode chunk(Context context, JsonNode body, int token, boolean last) {
		boolean chat = body.has("messages");
		ObjectNode chunk = this.mapper.createObjectNode()
			.put("id", "cmpl-" + context.header("X-Request-Id"))
			.put("object", chat ? "chat.completion.chunk" : "text_completion")
			.put("created", 0)
			.put("model", body.path("model").asText());
		ObjectNode choice = chunk.putArray("choices").addObject().put("index", 0);
		if (chat) {
			choice.putObject("delta").put("content", " t" + token);
		}
		else {
			choice.put("text", " t" + token);
		}
		choice.put("finish_reason", last ? "stop" : null);
		return chunk;
	}

	private static void write(OutputStream output, String text) throws IOException {
		output.write(text.getBytes(StandardCharsets.UTF_8));
		output.flush();
	}

	@Override
	public void close() {
		this.server.close();
	}

}
