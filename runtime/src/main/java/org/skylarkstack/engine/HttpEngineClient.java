package org.skylarkstack.engine;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import okhttp3.Call;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.skylarkstack.configuration.EngineNode;
import org.skylarkstack.kernel.Cancellation;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.kernel.Verdict;
import org.skylarkstack.settings.BackendTimeouts;

/**
 * Calls engines over the OpenAI-compatible HTTP API. The KV cache is handed over with
 * {@code kv_transfer_params}: the prefill response contains the parameters, and the
 * decode request passes them on. Token offsets are sent as server-sent event ids, and a
 * request that resumes a stream sends the last one in {@code Last-Event-ID}. An engine
 * responds with 410 to a decode whose prefill result no longer exists.
 */
public final class HttpEngineClient implements EngineClient {

	/** Header with the id of the attempt. */
	public static final String REQUEST_ID = "X-Request-Id";

	/** Header with the VM and incarnation that own the request. */
	public static final String OWNER = "X-Request-Owner";

	private static final MediaType JSON = Objects.requireNonNull(MediaType.parse("application/json"));

	private static final int MANAGEMENT_TIMEOUT_MILLIS = 1_000;

	private static final long MAX_PREFILL_RESULT_BYTES = 1024 * 1024;

	private static final long MAX_REPORT_BYTES = 4 * 1024 * 1024;

	private static final int NOT_FOUND = 404;

	private static final int GONE = 410;

	private final ObjectMapper mapper = new ObjectMapper();

	private final BackendClients clients;

	private final BackendTimeouts timeouts;

	private final AtomicLong crossedResponses = new AtomicLong();

	/**
	 * Creates a client.
	 * @param clients the connections to engines
	 * @param timeouts the idle timeouts
	 */
	public HttpEngineClient(BackendClients clients, BackendTimeouts timeouts) {
		this.clients = clients;
		this.timeouts = timeouts;
	}

	/**
	 * Returns the number of responses and events that were dropped because they belong to
	 * another request or attempt.
	 * @return the count since start
	 */
	public long crossedResponses() {
		return this.crossedResponses.get();
	}

	@Override
	public PrefillResult prefill(EngineNode engine, EngineCall call) {
		ObjectNode body = call.body().deepCopy();
		body.put("stream", false).put("max_tokens", 1).put("n", 1);
		body.remove(List.of("stream_options", "max_completion_tokens", "best_of"));
		body.putObject("kv_transfer_params").put("do_remote_decode", true);
		int idleTimeoutMillis = this.timeouts.prefillIdleMillis();
		Exchange exchange = new Exchange(engine, call, post(engine, call, body), idleTimeoutMillis, idleTimeoutMillis);
		try (Response response = exchange.execute(); Cancellation.Registration registration = exchange.cancellation()) {
			JsonNode responseBody = this.mapper.readTree(BoundedBody.read(response, MAX_PREFILL_RESULT_BYTES));
			JsonNode parameters = responseBody.path("kv_transfer_params");
			if (!parameters.isObject()) {
				throw RouterException.of(ErrorType.BACKEND_FAILED, Verdict.MAY_HAVE_RUN, null, engine.id(),
						"the prefill answer has no kv_transfer_params");
			}
			return new PrefillResult(parameters, count(responseBody.path("usage").path("prompt_tokens")));
		}
		catch (IOException ex) {
			throw exchange.failure(ex);
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
		int idleTimeoutMillis = this.timeouts.firstTokenIdleMillis();
		Exchange exchange = new Exchange(engine, call, request, idleTimeoutMillis, 0);
		Response response = exchange.execute();
		exchange.cancellation().close();
		return new ServerSentEventStream(engine.id(), call, exchange.call, response, idleTimeoutMillis,
				this.timeouts.tokenIdleMillis(), this.crossedResponses,
				() -> this.clients.discardIdleConnections(engine.url()));
	}

	private Request.Builder post(EngineNode engine, EngineCall call, JsonNode body) {
		return new Request.Builder().url(engine.url() + call.path())
			.header(REQUEST_ID, call.requestId())
			.header(OWNER, call.owner())
			.post(RequestBody.create(body.toString(), JSON));
	}

	static RouterException failureAfterSend(String engineId, int idleTimeoutMillis, IOException failure) {
		if (failure instanceof InterruptedIOException) {
			return RouterException.of(ErrorType.BACKEND_TIMEOUT, Verdict.MAY_HAVE_RUN, failure, engineId,
					idleTimeoutMillis);
		}
		return RouterException.of(ErrorType.BACKEND_FAILED, Verdict.MAY_HAVE_RUN, failure, engineId,
				String.valueOf(failure.getMessage()));
	}

	@Override
	public void cancel(EngineNode engine, String requestId) {
		Request request = new Request.Builder().url(engine.url() + "/v1/requests/" + requestId).delete().build();
		callManagementEndpoint(engine, request, Response::isSuccessful, true);
	}

	@Override
	public List<HeldRequest> held(EngineNode engine) {
		Request request = new Request.Builder().url(engine.url() + "/v1/requests").build();
		JsonNode list = callManagementEndpoint(engine, request,
				(response) -> this.mapper.readTree(BoundedBody.read(response, MAX_REPORT_BYTES)), false);
		List<HeldRequest> held = new ArrayList<>();
		for (JsonNode item : list) {
			held.add(new HeldRequest(item.path("request_id").asText(), item.path("owner").asText(),
					item.path("kind").asText(), count(item.path("pieces")),
					(long) item.path("idle_millis").asDouble()));
		}
		return held;
	}

	// A number that is out of range counts as missing rather than being truncated.
	private static int count(JsonNode number) {
		return (number.isIntegralNumber() && number.canConvertToInt()) ? Math.max(0, number.intValue()) : 0;
	}

	@Override
	public EngineLoad load(EngineNode engine) {
		Request request = new Request.Builder().url(engine.url() + "/metrics").build();
		return callManagementEndpoint(engine, request, (response) -> LoadReportParser
			.parse(new String(BoundedBody.read(response, MAX_REPORT_BYTES), StandardCharsets.UTF_8)), false);
	}

	// Makes a short call on a new connection, because a pooled connection may have
	// broken without this process having detected it.
	private <T> T callManagementEndpoint(EngineNode engine, Request request, ResponseReader<T> reader,
			boolean unknownIsSuccess) {
		SendTracker tracker = new SendTracker();
		Request tagged = request.newBuilder().tag(SendTracker.class, tracker).header("Connection", "close").build();
		Call call = this.clients.unpooled(MANAGEMENT_TIMEOUT_MILLIS).newCall(tagged);
		call.timeout().timeout(2L * MANAGEMENT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		try (Response response = call.execute()) {
			boolean unknown = response.code() == NOT_FOUND || response.code() == GONE;
			if (!response.isSuccessful() && !(unknownIsSuccess && unknown)) {
				throw EngineFailures.status(engine.id(), response.code());
			}
			return reader.read(response);
		}
		catch (IOException ex) {
			throw tracker.translate(engine.id(), MANAGEMENT_TIMEOUT_MILLIS, ex);
		}
	}

	/**
	 * Reads the result of a call from its response.
	 *
	 * @param <T> the type of the result
	 */
	private interface ResponseReader<T> {

		T read(Response response) throws IOException;

	}

	/**
	 * One call of an engine, up to the headers of its response.
	 */
	private final class Exchange {

		private final EngineNode engine;

		private final EngineCall engineCall;

		private final SendTracker tracker = new SendTracker();

		private final int idleTimeoutMillis;

		private final Call call;

		private final Cancellation.Registration registration;

		Exchange(EngineNode engine, EngineCall engineCall, Request.Builder request, int idleTimeoutMillis,
				int totalMillis) {
			this.engine = engine;
			this.engineCall = engineCall;
			this.idleTimeoutMillis = idleTimeoutMillis;
			this.call = HttpEngineClient.this.clients.pooled(engine.url(), idleTimeoutMillis)
				.newCall(request.tag(SendTracker.class, this.tracker).build());
			this.call.timeout().timeout(totalMillis, TimeUnit.MILLISECONDS);
			this.registration = engineCall.cancellation().onCancel(this.call::cancel);
		}

		Cancellation.Registration cancellation() {
			return this.registration;
		}

		Response execute() {
			try {
				Response response = HeadTimeout.execute(this.call, this.idleTimeoutMillis);
				check(response);
				return response;
			}
			catch (IOException ex) {
				this.registration.close();
				throw failure(ex);
			}
			catch (RouterException ex) {
				this.registration.close();
				throw ex;
			}
		}

		private void check(Response response) {
			String responseRequestId = response.header(REQUEST_ID);
			if (response.isSuccessful() && this.engineCall.requestId().equals(responseRequestId)) {
				return;
			}
			int status = response.code();
			response.close();
			if (responseRequestId != null && !this.engineCall.requestId().equals(responseRequestId)
					|| response.isSuccessful()) {
				HttpEngineClient.this.crossedResponses.incrementAndGet();
				throw RouterException.of(ErrorType.BACKEND_FAILED, Verdict.MAY_HAVE_RUN, null, this.engine.id(),
						"it answered request " + responseRequestId);
			}
			throw EngineFailures.status(this.engine.id(), status);
		}

		RouterException failure(IOException cause) {
			this.engineCall.cancellation().check(this.tracker.verdict());
			RouterException failure = this.tracker.translate(this.engine.id(), this.idleTimeoutMillis, cause);
			if (failure.verdict() != Verdict.NOT_RUN) {
				HttpEngineClient.this.clients.discardIdleConnections(this.engine.url());
			}
			return failure;
		}

	}

}
