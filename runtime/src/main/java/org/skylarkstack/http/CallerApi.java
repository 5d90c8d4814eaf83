package org.skylarkstack.http;

import java.io.IOException;
import java.util.List;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import io.javalin.http.Handler;
import io.javalin.http.HandlerType;
import io.javalin.http.HttpResponseException;
import org.eclipse.jetty.ee10.servlet.ServletContextRequest;
import org.eclipse.jetty.server.Request;
import org.jspecify.annotations.Nullable;
import org.skylarkstack.configuration.ConfigurationHolder;
import org.skylarkstack.configuration.Team;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.kernel.Verdict;
import org.skylarkstack.metrics.RequestOutcome;
import org.skylarkstack.metrics.RouterMetrics;
import org.skylarkstack.misc.TimeSource;
import org.skylarkstack.request.CallerDisconnectedException;
import org.skylarkstack.request.ClaimedRun;
import org.skylarkstack.request.CompletionRequest;
import org.skylarkstack.request.OpenRequest;
import org.skylarkstack.request.OpenRequests;
import org.skylarkstack.request.RequestPipeline;
import org.skylarkstack.request.ResponseSink;
import org.skylarkstack.request.StoredResponse;
import org.skylarkstack.settings.CallerLimits;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * HTTP API for callers: the OpenAI-compatible completions and the routes to plain
 * services.
 */
public final class CallerApi {

	private static final Logger LOG = LoggerFactory.getLogger(CallerApi.class);

	private static final String JSON = "application/json";

	private static final List<HandlerType> SERVICE_METHODS = List.of(HandlerType.GET, HandlerType.HEAD,
			HandlerType.POST, HandlerType.PUT, HandlerType.PATCH, HandlerType.DELETE, HandlerType.OPTIONS);

	private final ObjectMapper mapper = new ObjectMapper();

	private final ConfigurationHolder configuration;

	private final Authenticator authenticator;

	private final RequestPipeline pipeline;

	private final ServiceApi services;

	private final OpenRequests openRequests;

	private final CallerDisconnectMonitor disconnectMonitor;

	private final IdempotencyKeyHandler idempotencyKeyHandler;

	private final CallerLimits limits;

	private final BodyReader bodies;

	private final RouterMetrics metrics;

	private final TimeSource time;

	private final BooleanSupplier ready;

	/**
	 * Creates the API.
	 * @param configuration holds the current configuration
	 * @param authenticator finds the team of a key
	 * @param pipeline runs completion requests
	 * @param services serves the routes to plain services
	 * @param openRequests registers open requests and limits their number
	 * @param disconnectMonitor cancels the requests of callers that have disconnected
	 * @param idempotencyKeyHandler claims non-idempotent requests that carry an
	 * idempotency key
	 * @param limits the limits on requests
	 * @param metrics records outcomes and latencies
	 * @param time the time source
	 * @param ready whether the load balancer may send requests to this daemon
	 */
	public CallerApi(ConfigurationHolder configuration, Authenticator authenticator, RequestPipeline pipeline,
			ServiceApi services, OpenRequests openRequests, CallerDisconnectMonitor disconnectMonitor,
			IdempotencyKeyHandler idempotencyKeyHandler, CallerLimits limits, RouterMetrics metrics, TimeSource time,
			BooleanSupplier ready) {
		this.configuration = configuration;
		this.authenticator = authenticator;
		this.pipeline = pipeline;
		this.services = services;
		this.openRequests = openRequests;
		this.disconnectMonitor = disconnectMonitor;
		this.idempotencyKeyHandler = idempotencyKeyHandler;
		this.limits = limits;
		this.bodies = new BodyReader(limits, time);
		this.metrics = metrics;
		this.time = time;
		this.ready = ready;
	}

	/**
	 * Configures a server with the limits, routes and error handlers of this API.
	 * @param config the server's configuration
	 */
	public void register(JavalinConfig config) {
		CallerServer.apply(config, this.limits);
		config.routes.before(this::announceEndOfConnection);
		config.routes.get("/livez", (context) -> context.result("ok"));
		config.routes.get("/readyz", this::ready);
		config.routes.get("/v1/models", this::models);
		config.routes.post("/v1/chat/completions", withOpenRequestSlot(this::complete));
		config.routes.post("/v1/completions", withOpenRequestSlot(this::complete));
		SERVICE_METHODS
			.forEach((method) -> config.routes.addHttpHandler(method, "/*", withOpenRequestSlot(this.services::serve)));
		config.routes.exception(RouterException.class, (failure, context) -> ErrorResponse.write(context, failure));
		config.routes.exception(HttpResponseException.class, CallerApi::handleUnmatched);
		config.routes.exception(Exception.class, CallerApi::handleInternalError);
	}

	private void announceEndOfConnection(Context context) {
		ServletContextRequest.getServletContextRequest(context.req())
			.addHttpStreamWrapper((stream) -> new ClosingStream(stream, this.ready));
	}

	// The server sends the end of a response after the handler has returned. The slot is
	// held until then, so that a shutdown does not close the connection too early.
	private Handler withOpenRequestSlot(RequestHandler handler) {
		return (context) -> {
			OpenRequests.Slot slot = this.openRequests.acquireSlot();
			Request.addCompletionListener(ServletContextRequest.getServletContextRequest(context.req()),
					(failure) -> slot.close());
			try {
				handler.handle(context, slot);
			}
			catch (RouterException ex) {
				slot.recordFailure(context.path(), ex);
				throw ex;
			}
		};
	}

	// Handles requests that match no Javalin handler, for example with method TRACE.
	private static void handleUnmatched(HttpResponseException failure, Context context) {
		ErrorResponse.write(context,
				new RouterException(ErrorType.NO_ROUTE, context.req().getMethod(), context.req().getRequestURI()));
	}

	private static void handleInternalError(Exception failure, Context context) {
		LOG.atError().addKeyValue("event", "request_failed").setCause(failure).log();
		if (context.res().isCommitted()) {
			JettyConnection.abort(context);
			return;
		}
		ErrorResponse.write(context, new RouterException(ErrorType.INTERNAL));
	}

	private void ready(Context context) {
		if (this.configuration.current().appliedNumber() == 0 || !this.ready.getAsBoolean()) {
			throw new RouterException(ErrorType.NOT_READY);
		}
		context.result("ok");
	}

	private void models(Context context) {
		this.authenticator.team(this.authenticator.keyHash(context.header("Authorization")));
		ObjectNode response = this.mapper.createObjectNode().put("object", "list");
		ArrayNode data = response.putArray("data");
		this.configuration.current()
			.models()
			.forEach((model) -> data.addObject()
				.put("id", model)
				.put("object", "model")
				.put("created", 0)
				.put("owned_by", "skylarkstack"));
		context.header(ErrorResponse.VERDICT, Verdict.RAN.headerValue());
		context.contentType(JSON).result(response.toString());
	}

	private void complete(Context context, OpenRequests.Slot slot) throws IOException {
		long startNanos = this.time.nanos();
		String keyHash = this.authenticator.keyHash(context.header("Authorization"));
		Team team = this.authenticator.team(keyHash);
		boolean idempotent = !IdempotencyKeyHandler.marksNonIdempotent(context);
		byte[] body = this.bodies.read(context.req().getInputStream(), context.req().getContentLengthLong(), slot);
		CompletionRequest request = CompletionRequest.parse(context.path(), parse(body), idempotent);
		if (this.configuration.current().engines(request.model()).isEmpty()) {
			throw new RouterException(ErrorType.UNKNOWN_MODEL, request.model());
		}
		JettyConnection connection = new JettyConnection(context, this.limits.unreadTimeoutMillis());
		OpenRequest open = new OpenRequest(keyHash, team.id(), request.fingerprint(team.id()), slot.cancellation());
		try (CallerExchange exchange = new CallerExchange(this.openRequests, this.disconnectMonitor, connection,
				open)) {
			exchange.checkBeforeStart();
			this.pipeline.checkTimeLeft(request);
			IdempotencyKeyHandler.ClaimResult claimResult = this.idempotencyKeyHandler.claim(context, team.id(),
					idempotent, body);
			if (!claimResult.replayed()) {
				run(context, connection, new CompletionTask(team, request, slot, claimResult.run(), startNanos));
			}
		}
	}

	private void run(Context context, JettyConnection connection, CompletionTask task) {
		try {
			if (task.request.stream()) {
				respondWithEventStream(context, task);
			}
			else {
				respondWithJson(context, task);
			}
		}
		catch (CallerDisconnectedException ex) {
			count(task, RequestOutcome.CANCELLED);
			connection.abort();
		}
	}

	private void count(CompletionTask task, RequestOutcome outcome) {
		this.metrics.request(task.request.model(), task.request.requestClass(), task.team.id(), outcome);
	}

	private ResponseSink metered(ResponseSink sink, CompletionTask task) {
		return new MeteredSink(sink, this.metrics, task.request.requestClass(), task.startNanos, this.time);
	}

	private void respondWithJson(Context context, CompletionTask task) {
		ResponseAssembler assembler = new ResponseAssembler(this.mapper, task.request.path());
		try {
			this.pipeline.run(task.team, task.request, task.slot.cancellation(), metered(assembler, task));
		}
		catch (RouterException ex) {
			task.recordFailure(ex);
			count(task, RequestOutcome.of(ex.type()));
			throw ex;
		}
		byte[] response = assembler.response().toString().getBytes(java.nio.charset.StandardCharsets.UTF_8);
		task.recordResponse(
				(response.length <= StoredResponse.MAX_BODY_BYTES) ? new StoredResponse(200, JSON, response) : null);
		count(task, RequestOutcome.ANSWERED);
		context.header(ErrorResponse.VERDICT, Verdict.RAN.headerValue());
		context.contentType(JSON).result(response);
	}

	private void respondWithEventStream(Context context, CompletionTask task) {
		EventStreamWriter writer = new EventStreamWriter(context, task.claimed != null);
		try {
			this.pipeline.run(task.team, task.request, task.slot.cancellation(), metered(writer, task));
			task.recordResponse(writer.replayableResponse());
			writer.finish();
			count(task, RequestOutcome.ANSWERED);
		}
		catch (RouterException ex) {
			task.recordFailure(ex);
			count(task, RequestOutcome.of(ex.type()));
			if (!writer.started()) {
				throw ex;
			}
			task.slot.recordFailure(task.request.path(), ex);
			writer.fail(ex);
		}
	}

	private JsonNode parse(byte[] body) {
		try {
			return this.mapper.readTree(body);
		}
		catch (JsonProcessingException ex) {
			throw new RouterException(ErrorType.BAD_REQUEST, "the body is not valid JSON");
		}
		catch (IOException ex) {
			throw new RouterException(ErrorType.BAD_REQUEST, "the body could not be read");
		}
	}

	/**
	 * Handles a request that holds a slot.
	 */
	private interface RequestHandler {

		void handle(Context context, OpenRequests.Slot slot) throws IOException;

	}

	/**
	 * Authenticated and parsed completion request.
	 *
	 * @param team the caller's team
	 * @param request the parsed request
	 * @param slot the slot of the request
	 * @param claimed records the outcome of a claimed request, or {@code null} if the
	 * request is not claimed
	 * @param startNanos when the request arrived, in monotonic nanoseconds
	 */
	private record CompletionTask(Team team, CompletionRequest request, OpenRequests.Slot slot,
			@Nullable ClaimedRun claimed, long startNanos) {

		void recordResponse(@Nullable StoredResponse response) {
			if (this.claimed != null) {
				this.claimed.recordOutcome(response);
			}
		}

		void recordFailure(RouterException failure) {
			if (this.claimed != null) {
				this.claimed.releaseIfNotRun(failure);
			}
		}

	}

}
