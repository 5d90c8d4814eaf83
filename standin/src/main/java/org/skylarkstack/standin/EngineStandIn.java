package org.skylarkstack.standin;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.skylarkstack.engine.EngineLoad;
import org.skylarkstack.engine.HeldRequest;

/**
 * Stand-in for a model engine. It is an HTTP server in front of an {@link EngineModel}
 * and implements the API that {@link org.skylarkstack.engine.HttpEngineClient} calls.
 *
 * <p>
 * Once a decode request has a slot and memory, the engine fetches the prefill result from
 * the engine that produced it with {@code POST /v1/kv/HANDLE/pull}. The response starts
 * with the first token, so a result that expired, was fetched before or is unknown can
 * still be reported with status 410.
 */
public final class EngineStandIn implements AutoCloseable {

	private static final String REQUEST_ID = "X-Request-Id";

	private static final String OWNER = "X-Request-Owner";

	private static final String JSON = "application/json";

	/** Each open stream blocks one thread. */
	private static final int MAX_THREADS = 1_200;

	private static final Duration PULL_TIMEOUT = Duration.ofSeconds(1);

	private final ObjectMapper mapper = new ObjectMapper();

	private final EngineSpec spec;

	private final EngineFaults faults = new EngineFaults();

	private final EngineOrders orders = new EngineOrders();

	private final OkHttpClient pullClient = new OkHttpClient.Builder().retryOnConnectionFailure(false)
		.callTimeout(PULL_TIMEOUT)
		.build();

	private final Set<String> connections = ConcurrentHashMap.newKeySet();

	private final Set<String> frozenConnections = ConcurrentHashMap.newKeySet();

	private final CountDownLatch closing = new CountDownLatch(1);

	private final AtomicInteger startCount = new AtomicInteger();

	private final Map<String, EngineWorkCounts> workCountsBeforeRestart = new HashMap<>();

	private final Map<String, String> usersByRequestId = new ConcurrentHashMap<>();

	private final AtomicInteger authorizations = new AtomicInteger();

	private final int port;

	private volatile CompletionResponse previousResponse = new CompletionResponse("unknown", "{}");

	private volatile Instance instance;

	/**
	 * Starts an engine with the default specification.
	 * @param id the engine's id
	 * @param port the port on the loopback interface, or 0 for any free port
	 * @param tokenMillis the time between two output tokens in milliseconds
	 */
	public EngineStandIn(String id, int port, int tokenMillis) {
		this(EngineSpec.withDefaults(id, tokenMillis), port);
	}

	/**
	 * Starts an engine.
	 * @param spec the specification
	 * @param port the port on the loopback interface, or 0 for any free port
	 */
	public EngineStandIn(EngineSpec spec, int port) {
		this.spec = spec;
		this.instance = start(port);
		this.port = this.instance.server().port();
	}

	private Instance start(int listenPort) {
		int number = this.startCount.incrementAndGet();
		EngineModel model = new EngineModel(this.spec, new Random(this.spec.seed() + number));
		EngineLoop loop = new EngineLoop("engine-" + this.spec.id(), model);
		return new Instance(new HttpStandIn(listenPort, MAX_THREADS, (config) -> register(config, loop, number)), loop);
	}

	private void register(JavalinConfig config, EngineLoop loop, int startNumber) {
		// Broken connections and crashes are expected here and are not logged.
		config.routes.exception(IOException.class, (failure, context) -> context.status(500));
		config.routes.exception(InterruptedException.class, (failure, context) -> context.status(500));
		config.routes.before((context) -> beforeRequest(context, loop));
		config.routes.post("/v1/chat/completions", (context) -> complete(context, loop, startNumber));
		config.routes.post("/v1/completions", (context) -> complete(context, loop, startNumber));
		config.routes.get("/v1/requests", (context) -> listHeld(context, loop));
		config.routes.delete("/v1/requests/{id}", (context) -> cancel(context, loop));
		config.routes.post("/v1/kv/{handle}/pull", (context) -> send(context, loop, startNumber));
		config.routes.get("/v1/cache_events", (context) -> cacheEvents(context, loop));
		config.routes.post("/v1/orders", this::order);
		config.routes.get("/metrics",
				(context) -> context.result(gauges(loop.apply((model) -> model.loadReport(System.nanoTime())))));
	}

	/**
	 * Returns the base URL.
	 * @return the URL without a trailing slash
	 */
	public String url() {
		return "http://127.0.0.1:" + this.port;
	}

	/**
	 * Returns the engine's id.
	 * @return the id
	 */
	public String id() {
		return this.spec.id();
	}

	/**
	 * Returns the fault injection settings.
	 * @return the settings, which may be changed
	 */
	public EngineFaults faults() {
		return this.faults;
	}

	/**
	 * Returns the work done since the first start, including that before crashes, by
	 * request and attempt.
	 * @return the counts
	 */
	public synchronized Map<String, EngineWorkCounts> workCounts() {
		Map<String, EngineWorkCounts> workCounts = new HashMap<>(this.workCountsBeforeRestart);
		this.instance.loop()
			.apply(EngineModel::workCounts)
			.forEach((request, counts) -> workCounts.merge(request, counts, EngineWorkCounts::plus));
		return workCounts;
	}

	/**
	 * Returns the work done since the first start by the {@code user} field of the
	 * request body, with which the caller identifies its request.
	 * @return the counts of the requests that have the field
	 */
	public Map<String, EngineWorkCounts> workCountsByUser() {
		Map<String, EngineWorkCounts> workCounts = new HashMap<>();
		workCounts().forEach((request, counts) -> {
			String user = this.usersByRequestId.get(request);
			if (user != null) {
				workCounts.merge(user, counts, EngineWorkCounts::plus);
			}
		});
		return workCounts;
	}

	/**
	 * Returns the number of requests with an Authorization header. It must be 0, because
	 * callers' keys must not reach an engine.
	 * @return the number of requests
	 */
	public int authorizationsSeen() {
		return this.authorizations.get();
	}

	/**
	 * Returns the output text that an engine produces for a completion request.
	 * @param body the request body
	 * @return the complete text
	 */
	public static String outputText(JsonNode body) {
		return new CompletionBody(new ObjectMapper(), body, "").fullText();
	}

	/**
	 * Returns the requests that the engine holds.
	 * @return the held requests in order of arrival
	 */
	public List<HeldRequest> held() {
		return this.instance.loop().apply((model) -> model.held(System.nanoTime()));
	}

	/**
	 * Returns the current load, without the lag of the load report.
	 * @return the load
	 */
	public EngineLoad load() {
		return this.instance.loop().apply(EngineModel::load);
	}

	/**
	 * Returns the orders that were applied.
	 * @return the orders in the order of their application
	 */
	public List<EngineOrder> appliedOrders() {
		return this.orders.applied();
	}

	/**
	 * Freezes all open connections permanently: they stay established but carry no more
	 * data. New connections work.
	 */
	public void freezeConnections() {
		this.frozenConnections.addAll(this.connections);
	}

	/**
	 * Simulates a crash: drops all connections and the engine model except the counts of
	 * {@link #workCounts()}, then restarts on the same port after a delay.
	 * @param restartMillis the time until the restart in milliseconds
	 */
	public void crash(int restartMillis) {
		Instance crashed = this.instance;
		Thread restart = new Thread(() -> restart(crashed, restartMillis), "restart-" + this.spec.id());
		restart.setDaemon(true);
		restart.start();
	}

	private synchronized void restart(Instance crashed, int restartMillis) {
		if (this.instance.loop() != crashed.loop() || this.closing.getCount() == 0) {
			return;
		}
		crashed.loop()
			.apply(EngineModel::workCounts)
			.forEach((request, counts) -> this.workCountsBeforeRestart.merge(request, counts, EngineWorkCounts::plus));
		crashed.server().abort();
		crashed.loop().close();
		try {
			if (!this.closing.await(restartMillis, java.util.concurrent.TimeUnit.MILLISECONDS)) {
				this.instance = start(this.port);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void beforeRequest(Context context, EngineLoop loop) throws InterruptedException {
		String connection = connection(context);
		this.connections.add(connection);
		if (this.frozenConnections.contains(connection)) {
			this.closing.await();
		}
		if (context.header("Authorization") != null) {
			this.authorizations.incrementAndGet();
		}
		String owner = context.header(OWNER);
		if (owner != null) {
			loop.apply((model) -> {
				model.recordContact(owner, System.nanoTime());
				return owner;
			});
		}
	}

	private static String connection(Context context) {
		return context.req().getServletConnection().getConnectionId();
	}

	private void complete(Context context, EngineLoop loop, int startNumber) throws IOException, InterruptedException {
		JsonNode json = this.mapper.readTree(context.bodyAsBytes());
		String requestId = Objects.requireNonNullElse(context.header(REQUEST_ID), "");
		context.header(REQUEST_ID, requestId);
		if (this.faults.consume(EngineFaults.Counted.SILENT)) {
			this.closing.await();
		}
		if (this.faults.consume(EngineFaults.Counted.FULL)) {
			context.status(429);
			return;
		}
		CompletionBody body = new CompletionBody(this.mapper, json, requestId);
		EngineRequest request = request(context, requestId, body);
		if (json.hasNonNull("user")) {
			this.usersByRequestId.put(requestId, json.path("user").asText());
		}
		if (request.resumeOffset() > 0 && request.resumeOffset() >= body.outputTokens()) {
			sendEmptyStream(context, new Exchange(loop, request, body, 0));
			return;
		}
		OptionalLong handle = loop.offer(request);
		if (handle.isEmpty()) {
			context.status(429);
			return;
		}
		Exchange exchange = new Exchange(loop, request, body, handle.getAsLong());
		try {
			if (request.kind() == EngineRequest.Kind.PREFILL) {
				prefill(context, exchange, startNumber);
			}
			else {
				decode(context, exchange);
			}
		}
		finally {
			loop.removeQueue(handle.getAsLong());
		}
	}

	private EngineRequest request(Context context, String requestId, CompletionBody body) {
		EngineRequest.Kind kind = EngineRequest.Kind.WHOLE;
		if (body.prefillOnly()) {
			kind = EngineRequest.Kind.PREFILL;
		}
		else if (body.importsPrefill()) {
			kind = EngineRequest.Kind.DECODE;
		}
		boolean prefill = kind == EngineRequest.Kind.PREFILL;
		int resume = Integer.parseInt(Objects.requireNonNullElse(context.header("Last-Event-ID"), "0"));
		return new EngineRequest(requestId, Objects.requireNonNullElse(context.header(OWNER), ""), kind,
				body.promptTokens(), PrefixBlocks.hashes(body.prompt()), prefill ? 0 : body.outputTokens(), resume,
				body.priority(), stallStage(kind));
	}

	private EngineStage stallStage(EngineRequest.Kind kind) {
		if (kind == EngineRequest.Kind.PREFILL) {
			return this.faults.consume(EngineFaults.Counted.STALLED_PREFILL) ? EngineStage.PREFILL : EngineStage.NONE;
		}
		if (kind == EngineRequest.Kind.DECODE && this.faults.consume(EngineFaults.Counted.STALLED_TRANSFER)) {
			return EngineStage.TRANSFER;
		}
		return this.faults.consume(EngineFaults.Counted.STALLED_STREAM) ? EngineStage.STREAM : EngineStage.NONE;
	}

	private void prefill(Context context, Exchange exchange, int startNumber) throws IOException, InterruptedException {
		EngineEvent event = exchange.awaitEvent();
		if (event.type() != EngineEvent.Type.PREFILLED) {
			context.status(409);
			return;
		}
		crashIfMarked(exchange);
		delayIfLate();
		ObjectNode response = this.mapper.createObjectNode();
		response.putObject("kv_transfer_params")
			.put("do_remote_prefill", true)
			.put("remote_engine_id", this.spec.id())
			.put("remote_url", url())
			.put("remote_handle", startNumber + "-" + exchange.handle());
		response.putObject("usage")
			.put("prompt_tokens", exchange.body().promptTokens())
			.putObject("prompt_tokens_details")
			.put("cached_tokens", event.value());
		respond(context, new CompletionResponse(exchange.request().requestId(), response.toString()));
	}

	private void respond(Context context, CompletionResponse own) {
		CompletionResponse previous = this.previousResponse;
		this.previousResponse = own;
		CompletionResponse sent = this.faults.consume(EngineFaults.Counted.CROSSED) ? previous : own;
		if (this.faults.consume(EngineFaults.Counted.WRONG_REQUEST_ID)) {
			sent = new CompletionResponse("never-sent", sent.body());
		}
		context.header(REQUEST_ID, sent.requestId()).contentType(JSON).result(sent.body());
	}

	private void crashIfMarked(Exchange exchange) throws InterruptedException {
		if (this.faults.crashes(exchange.body().prompt())) {
			crash(this.faults.restartMillis());
			this.closing.await();
		}
	}

	private void delayIfLate() throws InterruptedException {
		if (this.faults.consume(EngineFaults.Counted.LATE)) {
			Thread.sleep(this.faults.lateMillis());
		}
	}

	private void decode(Context context, Exchange exchange) throws IOException, InterruptedException {
		EngineEvent event = exchange.awaitEvent();
		if (event.type() == EngineEvent.Type.PULL) {
			OptionalLong sendNanos = pull(exchange.body().transferParams());
			if (sendNanos.isEmpty()) {
				exchange.cancel();
				context.status(410);
				return;
			}
			exchange.received(sendNanos.getAsLong());
			event = exchange.awaitEvent();
		}
		if (event.type() == EngineEvent.Type.CANCELLED) {
			context.status(409);
			return;
		}
		crashIfMarked(exchange);
		delayIfLate();
		if (this.faults.consume(EngineFaults.Counted.WRONG_REQUEST_ID)) {
			context.header(REQUEST_ID, "never-sent");
		}
		if (this.faults.consume(EngineFaults.Counted.CROSSED)) {
			context.header(REQUEST_ID, this.previousResponse.requestId());
		}
		if (exchange.body().streamed()) {
			streamTokens(context, exchange, event);
		}
		else {
			collect(context, exchange, event);
		}
	}

	private OptionalLong pull(JsonNode transfer) {
		String source = transfer.path("remote_url").asText();
		if (source.isEmpty()) {
			return OptionalLong.empty();
		}
		Request request = new Request.Builder()
			.url(source + "/v1/kv/" + transfer.path("remote_handle").asText() + "/pull")
			.post(RequestBody.create(new byte[0]))
			.build();
		try (Response response = this.pullClient.newCall(request).execute()) {
			return response.isSuccessful() ? OptionalLong.of(Long.parseLong(response.body().string()))
					: OptionalLong.empty();
		}
		catch (IOException | NumberFormatException ex) {
			return OptionalLong.empty();
		}
	}

	private void send(Context context, EngineLoop loop, int startNumber) {
		String[] parts = context.pathParam("handle").split("-", 2);
		OptionalLong nanos = OptionalLong.empty();
		if (parts.length == 2 && parts[0].equals(Integer.toString(startNumber))) {
			nanos = loop.apply((model) -> model.send(Long.parseLong(parts[1]), System.nanoTime()));
		}
		if (nanos.isEmpty()) {
			context.status(404);
		}
		else {
			context.result(Long.toString(nanos.getAsLong()));
		}
	}

	private void collect(Context context, Exchange exchange, EngineEvent first) throws InterruptedException {
		EngineEvent event = first;
		while (event.type() == EngineEvent.Type.TOKEN) {
			event = exchange.awaitEvent();
		}
		if (event.type() == EngineEvent.Type.CANCELLED) {
			context.status(409);
			return;
		}
		respond(context, new CompletionResponse(exchange.request().requestId(), exchange.body().fullResponse()));
	}

	private void streamTokens(Context context, Exchange exchange, EngineEvent first)
			throws IOException, InterruptedException {
		try {
			OutputStream output = openStream(context);
			EngineEvent event = first;
			int sent = 0;
			while (event.type() == EngineEvent.Type.TOKEN || event.type() == EngineEvent.Type.LAST_TOKEN) {
				if (this.frozenConnections.contains(connection(context))) {
					this.closing.await();
				}
				if (sent == this.faults.faultAfterTokens()) {
					if (this.faults.consume(EngineFaults.Counted.TRUNCATED_STREAM)) {
						exchange.cancel();
						return;
					}
					writeForeignEventIfFaulted(output);
				}
				write(output, "id: " + event.value() + "\ndata: " + exchange.body().chunk(event.value()) + "\n\n");
				exchange.recordContact();
				sent++;
				if (event.type() == EngineEvent.Type.LAST_TOKEN) {
					endStream(output, exchange.body());
					return;
				}
				event = exchange.awaitEvent();
			}
			throw new IOException("request was cancelled");
		}
		catch (IOException ex) {
			if (!this.faults.keepsAfterDisconnect()) {
				exchange.cancel();
			}
			throw ex;
		}
	}

	private void sendEmptyStream(Context context, Exchange exchange) throws IOException {
		endStream(openStream(context), exchange.body());
	}

	private static OutputStream openStream(Context context) throws IOException {
		context.contentType("text/event-stream");
		// Flushing Javalin's output stream does not send its buffered data.
		return context.res().getOutputStream();
	}

	private void writeForeignEventIfFaulted(OutputStream output) throws IOException {
		if (this.faults.consume(EngineFaults.Counted.CROSSED_EVENT)) {
			ObjectNode chunk = this.mapper.createObjectNode().put("id", "cmpl-another").put("object", "crossed");
			chunk.putArray("choices").addObject().put("index", 0).putObject("delta").put("content", " crossed");
			write(output, "id: 1\ndata: " + chunk + "\n\n");
		}
	}

	private static void endStream(OutputStream output, CompletionBody body) throws IOException {
		write(output, (body.wantsUsage() ? "data: " + body.usageChunk() + "\n\n" : "") + "data: [DONE]\n\n");
	}

	private static void write(OutputStream output, String text) throws IOException {
		output.write(text.getBytes(StandardCharsets.UTF_8));
		output.flush();
	}

	private void listHeld(Context context, EngineLoop loop) {
		ArrayNode list = this.mapper.createArrayNode();
		loop.apply((model) -> model.held(System.nanoTime()))
			.forEach((held) -> list.addObject()
				.put("request_id", held.requestId())
				.put("owner", held.owner())
				.put("kind", held.kind())
				.put("pieces", held.pieces())
				.put("idle_millis", held.idleMillis()));
		context.contentType(JSON).result(list.toString());
	}

	private void cancel(Context context, EngineLoop loop) {
		boolean ignored = this.faults.consume(EngineFaults.Counted.IGNORED_CANCEL);
		int cancelled = ignored ? 0 : loop.apply((model) -> model.cancel(context.pathParam("id")));
		context.contentType(JSON).result("{\"cancelled\":%d}".formatted(cancelled));
	}

	private void cacheEvents(Context context, EngineLoop loop) {
		long after = Long.parseLong(Objects.requireNonNullElse(context.queryParam("after"), "0"));
		ObjectNode response = this.mapper.createObjectNode();
		ArrayNode events = response.putArray("events");
		loop.apply((model) -> model.cacheEvents(after, System.nanoTime()))
			.forEach((event) -> events.addObject()
				.put("sequence", event.sequence())
				.put("type", event.stored() ? "stored" : "removed")
				.put("hash", event.hash()));
		context.contentType(JSON).result(response.toString());
	}

	private void order(Context context) throws IOException {
		JsonNode body = this.mapper.readTree(context.bodyAsBytes());
		int status = this.orders.apply(body, this.faults.checksFencing(), System.currentTimeMillis());
		context.status(status).contentType(JSON).result("{\"applied\":%s}".formatted(status == 200));
	}

	private static String gauges(EngineLoad load) {
		return String.format(Locale.ROOT, """
				engine_requests_running %d
				engine_requests_waiting %d
				engine_kv_pieces_used %d
				engine_prefill_tokens_queued %d
				""", load.running(), load.waiting(), load.usedPieces(), load.queuedPrefillTokens());
	}

	@Override
	public void close() {
		this.closing.countDown();
		synchronized (this) {
			this.instance.server().abort();
			this.instance.loop().close();
		}
		this.pullClient.dispatcher().executorService().shutdown();
		this.pullClient.connectionPool().evictAll();
	}

	private record Instance(HttpStandIn server, EngineLoop loop) {

	}

	private record CompletionResponse(String requestId, String body) {

	}

	private record Exchange(EngineLoop loop, EngineRequest request, CompletionBody body, long handle) {

		EngineEvent awaitEvent() throws InterruptedException {
			return this.loop.awaitEvent(this.handle);
		}

		void cancel() {
			this.loop.apply((model) -> {
				model.cancel(this.handle);
				return this.handle;
			});
		}

		void received(long sendNanos) {
			this.loop.apply((model) -> {
				model.receive(this.handle, sendNanos, System.nanoTime());
				return this.handle;
			});
		}

		void recordContact() {
			this.loop.apply((model) -> {
				model.recordContact(this.request.owner(), System.nanoTime());
				return this.handle;
			});
		}

	}

}
