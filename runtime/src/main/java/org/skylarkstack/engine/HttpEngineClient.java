package org.skylarkstack.engine;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import okhttp3.Call;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.skylarkstack.configuration.EngineNode;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.kernel.Verdict;
import org.skylarkstack.settings.BackendTimeouts;

/**
 * Engine adapter over the OpenAI-compatible HTTP API. KV cache is handed over with
 * {@code kv_transfer_params}: the prefill answer carries the parameters, and the decode
 * request passes them on. Token offsets travel as server-sent event ids, and a resumed
 * stream names the last one in {@code Last-Event-ID}.
 */
public final class HttpEngineClient implements EngineClient {

	/** Header that names the request and attempt. */
	public static final String REQUEST_ID = "X-Request-Id";

	/** Header that names the VM and incarnation that hold the request. */
	public static final String OWNER = "X-Request-Owner";

	private static final MediaType JSON = Objects.requireNonNull(MediaType.parse("application/json"));

	private static final int REPORT_TIMEOUT_MILLIS = 1_000;

	private final ObjectMapper mapper = new ObjectMapper();

	private final OkHttpClient prefillClient;

	private final OkHttpClient decodeClient;

	private final OkHttpClient reportClient;

	/**
	 * Creates a client.
	 * @param base the shared connection pool and dispatcher; its own retries must be off
	 * @param timeouts the idle bounds
	 */
	public HttpEngineClient(OkHttpClient base, BackendTimeouts timeouts) {
		this.prefillClient = withReadTimeout(base, timeouts.prefillIdleMillis());
		this.decodeClient = withReadTimeout(base, timeouts.tokenIdleMillis());
		this.reportClient = withReadTimeout(base, REPORT_TIMEOUT_MILLIS);
	}

	private static OkHttpClient withReadTimeout(OkHttpClient base, int millis) {
		return base.newBuilder().readTimeout(Duration.ofMillis(millis)).build();
	}

	@Override
	public PrefillResult prefill(EngineNode engine, EngineCall call) {
		ObjectNode body = call.body().deepCopy();
		body.put("stream", false).put("max_tokens", 1);
		body.remove("stream_options");
		body.putObject("kv_transfer_params").put("do_remote_decode", true);
		Request request = post(engine, call, body).build();
		try (Response response = this.prefillClient.newCall(request).execute()) {
			checkAnswer(engine, call, response);
			JsonNode answer = this.mapper.readTree(response.body().byteStream());
			return new PrefillResult(answer.path("kv_transfer_params"),
					answer.path("usage").path("prompt_tokens").asInt());
		}
		catch (IOException ex) {
			throw EngineFailures.translate(engine.id(), ex);
		}
	}

	@Override
	public DecodeStream decode(EngineNode engine, EngineCall call, PrefillResult prefill, int resumeOffset) {
		ObjectNode body = call.body().deepCopy();
		body.put("stream", true);
		body.set("kv_transfer_params", prefill.transferParameters());
		Request.Builder request = post(engine, call, body);
		if (resumeOffset > 0) {
			request.header("Last-Event-ID", Integer.toString(resumeOffset));
		}
		Call decode = this.decodeClient.newCall(request.build());
		try {
			Response response = decode.execute();
			checkAnswer(engine, call, response);
			return new ServerSentEventStream(engine.id(), decode, response);
		}
		catch (IOException ex) {
			throw EngineFailures.translate(engine.id(), ex);
		}
	}

	private Request.Builder post(EngineNode engine, EngineCall call, JsonNode body) {
		return new Request.Builder().url(engine.url() + call.path())
			.header(REQUEST_ID, call.requestId())
			.header(OWNER, call.owner())
			.post(RequestBody.create(body.toString(), JSON));
	}

	private static void checkAnswer(EngineNode engine, EngineCall call, Response response) {
		String answered = response.header(REQUEST_ID);
		if (!call.requestId().equals(answered)) {
			response.close();
			throw RouterException.of(ErrorType.BACKEND_FAILED, Verdict.MAY_HAVE_RUN, null, engine.id(),
					"it answered request " + answered);
		}
		if (!response.isSuccessful()) {
			int status = response.code();
			response.close();
			throw EngineFailures.status(engine.id(), status);
		}
	}

	@Override
	public void cancel(EngineNode engine, String requestId) {
		Request request = new Request.Builder().url(engine.url() + "/v1/requests/" + requestId).delete().build();
		try (Response response = this.reportClient.newCall(request).execute()) {
			if (!response.isSuccessful()) {
				throw EngineFailures.status(engine.id(), response.code());
			}
		}
		catch (IOException ex) {
			throw EngineFailures.translate(engine.id(), ex);
		}
	}

	@Override
	public List<HeldRequest> held(EngineNode engine) {
		JsonNode list = readJson(engine, "/v1/requests");
		List<HeldRequest> held = new ArrayList<>();
		for (JsonNode item : list) {
			held.add(new HeldRequest(item.path("request_id").asText(), item.path("owner").asText(),
					item.path("kind").asText(), item.path("pieces").asInt(), item.path("idle_millis").asLong()));
		}
		return held;
	}

	private JsonNode readJson(EngineNode engine, String path) {
		Request request = new Request.Builder().url(engine.url() + path).build();
		try (Response response = this.reportClient.newCall(request).execute()) {
			if (!response.isSuccessful()) {
				throw EngineFailures.status(engine.id(), response.code());
			}
			return this.mapper.readTree(response.body().byteStream());
		}
		catch (IOException ex) {
			throw EngineFailures.translate(engine.id(), ex);
		}
	}

	@Override
	public EngineLoad load(EngineNode engine) {
		Request request = new Request.Builder().url(engine.url() + "/metrics").build();
		try (Response response = this.reportClient.newCall(request).execute()) {
			if (!response.isSuccessful()) {
				throw EngineFailures.status(engine.id(), response.code());
			}
			return LoadReportParser.parse(response.body().string());
		}
		catch (IOException ex) {
			throw EngineFailures.translate(engine.id(), ex);
		}
	}

}
