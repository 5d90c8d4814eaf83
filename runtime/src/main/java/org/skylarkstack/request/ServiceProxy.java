package org.skylarkstack.request;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;

import okhttp3.Call;
import okhttp3.Headers;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSink;
import org.jspecify.annotations.Nullable;
import org.skylarkstack.configuration.BackendServer;
import org.skylarkstack.configuration.BackendService;
import org.skylarkstack.configuration.ConfigurationHolder;
import org.skylarkstack.configuration.ObjectKind;
import org.skylarkstack.configuration.Route;
import org.skylarkstack.engine.BackendClients;
import org.skylarkstack.engine.HeadTimeout;
import org.skylarkstack.engine.SendTracker;
import org.skylarkstack.kernel.CancelReason;
import org.skylarkstack.kernel.Cancellation;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.kernel.Verdict;
import org.skylarkstack.misc.TimeSource;
import org.skylarkstack.response.RefusalStatus;
import org.skylarkstack.response.ResponseCompleteness;
import org.skylarkstack.text.HeaderText;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Forwards requests to plain services and passes the responses back.
 *
 * <p>
 * A non-idempotent request is sent on a new connection, is not sent again once a byte may
 * have left, and is aborted only at the end of a shutdown, so that its caller gets an
 * error before the daemon stops.
 */
public final class ServiceProxy {

	private static final Logger LOG = LoggerFactory.getLogger(ServiceProxy.class);

	private static final int BUFFER_BYTES = 16 * 1024;

	private static final char REPLACEMENT_CHARACTER = '\uFFFD';

	private static final int NO_CONTENT = 204;

	private static final int NOT_MODIFIED = 304;

	private static final Set<String> METHODS_WITH_BODY = Set.of("POST", "PUT", "PATCH");

	private static final Set<String> METHODS_WITHOUT_BODY = Set.of("GET", "HEAD");

	private final ConfigurationHolder configuration;

	private final BackendClients clients;

	private final BackendServerSelector serverSelector;

	private final RetryBudget retryBudget;

	private final RetryPolicy retryPolicy;

	private final ShutdownAdmission shutdownAdmission;

	private final int idleMillis;

	private final TimeSource time;

	/**
	 * Creates a proxy.
	 * @param configuration lists the services and their servers
	 * @param clients the connections to backend servers
	 * @param serverSelector picks backend servers
	 * @param retryBudget counts the requests that its retry share is taken from
	 * @param retryPolicy decides whether a failed attempt is followed by another
	 * @param shutdownAdmission refuses work that a shutdown would end
	 * @param idleMillis the idle timeout in milliseconds
	 * @param time the time source
	 */
	public ServiceProxy(ConfigurationHolder configuration, BackendClients clients, BackendServerSelector serverSelector,
			RetryBudget retryBudget, RetryPolicy retryPolicy, ShutdownAdmission shutdownAdmission, int idleMillis,
			TimeSource time) {
		this.configuration = configuration;
		this.clients = clients;
		this.serverSelector = serverSelector;
		this.retryBudget = retryBudget;
		this.retryPolicy = retryPolicy;
		this.shutdownAdmission = shutdownAdmission;
		this.idleMillis = idleMillis;
		this.time = time;
	}

	/**
	 * Refuses a request that is not expected to be complete before a shutdown ends it.
	 * @param route the route of the request, which has not run
	 * @param idempotent whether the request may run more than once
	 * @throws RouterException if the request is refused
	 */
	public void checkTimeLeft(Route route, boolean idempotent) {
		this.shutdownAdmission.check(route.id(), () -> expectedNanos(route, idempotent, Verdict.NOT_RUN),
				Verdict.NOT_RUN, this.time.nanos());
	}

	// Routes have no timeout, so that the longest recent duration is the best bound.
	private long expectedNanos(Route route, boolean idempotent, Verdict verdict) {
		return this.shutdownAdmission.durations()
			.serviceNanos(route.id(), idempotent && !this.shutdownAdmission.requiresCertainty(verdict));
	}

	private boolean hasTimeLeft(ServiceRequest request, Verdict verdict) {
		return this.shutdownAdmission.permits(request.route().id(),
				() -> expectedNanos(request.route(), request.idempotent(), verdict), verdict, this.time.nanos());
	}

	/**
	 * Forwards a request, with retries.
	 * @param request the request
	 * @param claimedRun records the outcome under the request's claim, or {@code null} if
	 * the request has no claim
	 * @param responseSink receives the response
	 * @throws RouterException if the request is refused or fails; if the response has
	 * already started, it is incomplete
	 * @throws CallerDisconnectedException if the caller could not be written to
	 */
	public void run(ServiceRequest request, @Nullable ClaimedRun claimedRun, ServiceResponseSink responseSink) {
		if (METHODS_WITHOUT_BODY.contains(request.method()) && request.body().length > 0) {
			throw new RouterException(ErrorType.BAD_REQUEST, request.method() + " requests have no body");
		}
		checkHeaders(request);
		checkTimeLeft(request.route(), request.idempotent());
		this.retryBudget.recordRequest(this.time.nanos());
		Set<String> tried = new HashSet<>();
		Verdict verdict = Verdict.NOT_RUN;
		for (int attempts = 1;; attempts++) {
			Attempt attempt = new Attempt(request, claimedRun, responseSink, verdict);
			try {
				attempt.run(tried);
				return;
			}
			catch (RouterException ex) {
				verdict = verdict.combine(ex.verdict());
				if (attempt.responseStarted || request.cancellation().reason() != null
						|| !this.retryPolicy.permits(ex, verdict, attempts, request.idempotent(), 0, this.time.nanos())
						|| !hasTimeLeft(request, verdict)) {
					throw ex.withEarlierVerdict(verdict);
				}
				if (!hasUntried(request, tried)) {
					// Every server has failed for this request. All of them may be tried
					// again, so that a service with a single server receives the request
					// again, on a new connection.
					tried.clear();
				}
			}
		}
	}

	// The HTTP client writes headers in UTF-8 and has no form for other bytes.
	private static void checkHeaders(ServiceRequest request) {
		for (Header header : request.headers()) {
			if (HeaderText.decodeUtf8(header.value()) == null) {
				throw new RouterException(ErrorType.BAD_HEADERS,
						"the value of %s is not in UTF-8".formatted(header.name()));
			}
		}
	}

	private boolean hasUntried(ServiceRequest request, Set<String> tried) {
		return servers(request).stream().anyMatch((server) -> !server.leaving() && !tried.contains(server.url()));
	}

	private List<BackendServer> servers(ServiceRequest request) {
		return this.configuration.current()
			.find(BackendService.class, ObjectKind.SERVICE, request.route().serviceId())
			.map(BackendService::servers)
			.orElse(List.of());
	}

	private static HttpUrl url(BackendServer server, String target) {
		HttpUrl url = HttpUrl.parse(server.url() + target);
		int query = target.indexOf('?');
		String path = (query >= 0) ? target.substring(0, query) : target;
		if (url == null || !url.encodedPath().endsWith(path)) {
			// The client would normalize this path, and the result could lie outside the
			// route's prefix.
			throw new RouterException(ErrorType.BAD_REQUEST, "the path is not in its normal form");
		}
		return url;
	}

	/**
	 * One attempt on one backend server.
	 */
	private final class Attempt {

		private final ServiceRequest request;

		private final @Nullable ClaimedRun claimedRun;

		private final ServiceResponseSink responseSink;

		private final Verdict earlier;

		private final SendTracker tracker = new SendTracker();

		private boolean responseStarted;

		Attempt(ServiceRequest request, @Nullable ClaimedRun claimedRun, ServiceResponseSink responseSink,
				Verdict earlier) {
			this.request = request;
			this.claimedRun = claimedRun;
			this.responseSink = responseSink;
			this.earlier = earlier;
		}

		void run(Set<String> tried) {
			this.request.cancellation().check(this.earlier);
			BackendServer server = ServiceProxy.this.serverSelector
				.pick(servers(this.request), tried, ServiceProxy.this.time.nanos())
				.orElseThrow(() -> new RouterException(ErrorType.NO_ENGINE, this.request.route().serviceId()));
			tried.add(server.url());
			boolean failed = false;
			long startNanos = ServiceProxy.this.time.nanos();
			try {
				send(server);
				ServiceProxy.this.shutdownAdmission.durations()
					.recordService(this.request.route().id(), ServiceProxy.this.time.nanos() - startNanos);
			}
			catch (RouterException ex) {
				failed = this.request.cancellation().reason() == null && ex.type() != ErrorType.BAD_REQUEST;
				throw ex;
			}
			finally {
				ServiceProxy.this.serverSelector.release(server, failed, ServiceProxy.this.time.nanos());
			}
		}

		private void send(BackendServer server) {
			int idle = ServiceProxy.this.idleMillis;
			OkHttpClient client = this.request.idempotent() ? ServiceProxy.this.clients.pooled(server.url(), idle)
					: ServiceProxy.this.clients.unpooled(idle);
			Call call = client.newCall(httpRequest(server));
			Cancellation cancellation = this.request.cancellation();
			try (Cancellation.Registration registration = cancellation.onCancel(() -> abort(call));
					Response response = HeadTimeout.execute(call, idle)) {
				rejectStatusOfRefusal(server, response);
				relay(response);
			}
			catch (IOException ex) {
				if (isAborted()) {
					cancellation.check(this.tracker.verdict().combine(this.earlier));
				}
				RouterException failure = this.tracker.translate(server.url(), idle, ex);
				ServiceProxy.this.clients.discardIdleConnections(server.url());
				throw failure;
			}
		}

		// A service cannot state that it has not run a request. Callers would take the
		// status for that statement.
		private static void rejectStatusOfRefusal(BackendServer server, Response response) {
			if (RefusalStatus.matches(response.code())) {
				throw RouterException.of(ErrorType.BACKEND_FAILED, Verdict.MAY_HAVE_RUN, null, server.url(),
						"status %d does not show whether the request ran".formatted(response.code()));
			}
		}

		private void abort(Call call) {
			if (isAborted()) {
				call.cancel();
			}
		}

		private boolean isAborted() {
			CancelReason reason = this.request.cancellation().reason();
			return reason != null && (this.request.idempotent() || reason.abortsNonIdempotent());
		}

		private Request httpRequest(BackendServer server) {
			Headers.Builder headers = new Headers.Builder();
			String contentType = null;
			for (Header header : this.request.headers()) {
				if ("content-type".equalsIgnoreCase(header.name())) {
					contentType = header.value();
				}
				headers.addUnsafeNonAscii(header.name(), HeaderText.decode(header.value()));
			}
			Request.Builder builder = new Request.Builder().url(url(server, this.request.target()))
				.tag(SendTracker.class, this.tracker)
				.headers(headers.build());
			if (this.request.headers().stream().noneMatch((h) -> "accept-encoding".equalsIgnoreCase(h.name()))) {
				// Otherwise OkHttp would ask for gzip and change the headers of the
				// response.
				builder.header("Accept-Encoding", "identity");
			}
			if (!this.request.idempotent()) {
				builder.header("Connection", "close");
			}
			boolean hasBody = this.request.body().length > 0 || METHODS_WITH_BODY.contains(this.request.method());
			return builder
				.method(this.request.method(), hasBody ? new OneShotBody(this.request.body(), contentType) : null)
				.build();
		}

		private void relay(Response response) throws IOException {
			InputStream body = new CheckedBodyStream(response.body().byteStream(),
					new ResponseCompleteness(isFramed(response), sendsEvents(response)), this.tracker::hasFailed);
			ByteArrayOutputStream buffered = (this.claimedRun != null) ? readAndRecordOutcome(response, body) : null;
			List<Header> callerHeaders = new ArrayList<>(HeaderFilter.towardsCaller(headers(response)));
			String retryAfter = BackendClients.retryAfter(response);
			if (retryAfter != null) {
				callerHeaders.add(new Header("Retry-After", HeaderText.encode(retryAfter)));
			}
			this.responseStarted = true;
			this.responseSink.begin(response.code(), callerHeaders, response.body().contentLength());
			try {
				if (buffered != null) {
					this.responseSink.write(buffered.toByteArray(), buffered.size());
				}
			}
			catch (IOException ex) {
				throw new CallerDisconnectedException(ex);
			}
			byte[] buffer = new byte[BUFFER_BYTES];
			for (int length = body.read(buffer); length >= 0; length = body.read(buffer)) {
				writeToCaller(buffer, length);
			}
		}

		// The HTTP client reads headers as UTF-8. Values with other bytes look alike.
		private static List<Header> headers(Response response) {
			List<Header> headers = new ArrayList<>();
			response.headers().forEach((pair) -> {
				if (pair.getSecond().indexOf(REPLACEMENT_CHARACTER) < 0) {
					headers.add(new Header(pair.getFirst(), HeaderText.encode(pair.getSecond())));
				}
				else {
					LOG.atWarn()
						.addKeyValue("event", "response_header_dropped")
						.addKeyValue("header", pair.getFirst())
						.addKeyValue("why", "its value is not in UTF-8")
						.log();
				}
			});
			return headers;
		}

		private boolean sendsEvents(Response response) {
			return response.isSuccessful() && ResponseCompleteness.isEventStream(contentType(response));
		}

		private boolean isFramed(Response response) {
			return response.body().contentLength() >= 0 || response.header("Transfer-Encoding") != null
					|| "HEAD".equals(this.request.method()) || response.code() == NO_CONTENT
					|| response.code() == NOT_MODIFIED;
		}

		private void writeToCaller(byte[] buffer, int length) {
			try {
				this.responseSink.write(buffer, length);
			}
			catch (IOException ex) {
				throw new CallerDisconnectedException(ex);
			}
		}

		// Reads as much of the body as may be stored and records the outcome before the
		// caller gets any of the response.
		private ByteArrayOutputStream readAndRecordOutcome(Response response, InputStream body) throws IOException {
			ByteArrayOutputStream buffered = new ByteArrayOutputStream();
			ClaimedRun run = Objects.requireNonNull(this.claimedRun);
			byte[] buffer = new byte[BUFFER_BYTES];
			try {
				int length = 0;
				while (buffered.size() <= StoredResponse.MAX_BODY_BYTES && length >= 0) {
					buffered.write(buffer, 0, length);
					length = body.read(buffer);
				}
				if (length >= 0) {
					buffered.write(buffer, 0, length);
				}
			}
			catch (IOException ex) {
				// The status shows that the request ran, although its response is lost.
				run.recordOutcome(null);
				throw ex;
			}
			boolean storable = buffered.size() <= StoredResponse.MAX_BODY_BYTES;
			run.recordOutcome(storable
					? new StoredResponse(response.code(), contentType(response), buffered.toByteArray()) : null);
			return buffered;
		}

		private String contentType(Response response) {
			return Objects.requireNonNullElse(response.header("Content-Type"), "");
		}

	}

	/**
	 * Body that OkHttp must not send twice.
	 */
	private static final class OneShotBody extends RequestBody {

		private final byte[] bytes;

		private final @Nullable MediaType mediaType;

		OneShotBody(byte[] bytes, @Nullable String contentType) {
			this.bytes = bytes;
			this.mediaType = (contentType != null) ? MediaType.parse(contentType) : null;
		}

		@Override
		public @Nullable MediaType contentType() {
			return this.mediaType;
		}

		@Override
		public long contentLength() {
			return this.bytes.length;
		}

		@Override
		public boolean isOneShot() {
			return true;
		}

		@Override
		public void writeTo(BufferedSink sink) throws IOException {
			sink.write(this.bytes);
		}

	}

}
