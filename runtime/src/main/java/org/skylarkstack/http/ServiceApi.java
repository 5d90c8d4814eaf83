package org.skylarkstack.http;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import io.javalin.http.Context;
import org.jspecify.annotations.Nullable;
import org.skylarkstack.configuration.ConfigurationHolder;
import org.skylarkstack.configuration.Route;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.metrics.RequestOutcome;
import org.skylarkstack.metrics.RouterMetrics;
import org.skylarkstack.misc.TimeSource;
import org.skylarkstack.request.CallerDisconnectedException;
import org.skylarkstack.request.ClaimedRun;
import org.skylarkstack.request.Header;
import org.skylarkstack.request.HeaderFilter;
import org.skylarkstack.request.OpenRequest;
import org.skylarkstack.request.OpenRequests;
import org.skylarkstack.request.ServiceProxy;
import org.skylarkstack.request.ServiceRequest;
import org.skylarkstack.request.ServiceResponseSink;
import org.skylarkstack.schedule.RequestClass;
import org.skylarkstack.settings.CallerLimits;
import org.skylarkstack.text.HeaderText;

/**
 * HTTP API for plain services: forwards requests on the configured routes.
 */
public final class ServiceApi {

	// Stands for all bytes that the server cannot read as UTF-8.
	private static final char REPLACEMENT_CHARACTER = '\uFFFD';

	private final ConfigurationHolder configuration;

	private final Authenticator authenticator;

	private final OpenRequests openRequests;

	private final CallerDisconnectMonitor disconnectMonitor;

	private final IdempotencyKeyHandler idempotencyKeyHandler;

	private final ServiceProxy proxy;

	private final BodyReader bodies;

	private final long unreadTimeoutMillis;

	private final RouterMetrics metrics;

	/**
	 * Creates the API.
	 * @param configuration holds the current configuration with its routes
	 * @param authenticator finds the team of a key
	 * @param openRequests registers the open requests
	 * @param disconnectMonitor cancels the requests of callers that have disconnected
	 * @param idempotencyKeyHandler claims non-idempotent requests that carry an
	 * idempotency key
	 * @param proxy forwards requests to plain services
	 * @param limits the limits on requests
	 * @param metrics records outcomes
	 * @param time the time source
	 */
	public ServiceApi(ConfigurationHolder configuration, Authenticator authenticator, OpenRequests openRequests,
			CallerDisconnectMonitor disconnectMonitor, IdempotencyKeyHandler idempotencyKeyHandler, ServiceProxy proxy,
			CallerLimits limits, RouterMetrics metrics, TimeSource time) {
		this.configuration = configuration;
		this.authenticator = authenticator;
		this.openRequests = openRequests;
		this.disconnectMonitor = disconnectMonitor;
		this.idempotencyKeyHandler = idempotencyKeyHandler;
		this.proxy = proxy;
		this.bodies = new BodyReader(limits, time);
		this.unreadTimeoutMillis = limits.unreadTimeoutMillis();
		this.metrics = metrics;
	}

	void serve(Context context, OpenRequests.Slot slot) throws IOException {
		String path = context.req().getRequestURI();
		String method = context.req().getMethod();
		Route route = this.configuration.current()
			.route(method, path)
			.orElseThrow(() -> new RouterException(ErrorType.NO_ROUTE, method, path));
		String authorization = context.header("Authorization");
		String keyHash = route.open() ? "" : this.authenticator.keyHash(authorization);
		String teamId = route.open() ? "" : this.authenticator.team(keyHash).id();
		String key = Authenticator.key(authorization);
		String query = context.queryString();
		if (!key.isEmpty() && query != null && (query.contains(key) || query.contains(HeaderText.decode(key)))) {
			throw new RouterException(ErrorType.BAD_REQUEST, "the API key must not be part of the query");
		}
		if (query != null && query.indexOf(REPLACEMENT_CHARACTER) >= 0) {
			throw new RouterException(ErrorType.BAD_REQUEST, "the query is not in UTF-8");
		}
		byte[] body = this.bodies.read(context.req().getInputStream(), context.req().getContentLengthLong(), slot);
		JettyConnection connection = new JettyConnection(context, this.unreadTimeoutMillis);
		OpenRequest open = new OpenRequest(keyHash, teamId, "", slot.cancellation());
		try (CallerExchange exchange = new CallerExchange(this.openRequests, this.disconnectMonitor, connection,
				open)) {
			exchange.checkBeforeStart();
			boolean idempotent = !route.nonIdempotent() && !IdempotencyKeyHandler.marksNonIdempotent(context);
			this.proxy.checkTimeLeft(route, idempotent);
			IdempotencyKeyHandler.ClaimResult claimResult = this.idempotencyKeyHandler.claim(context,
					route.open() ? "open/" + route.id() : teamId, idempotent, body);
			if (!claimResult.replayed()) {
				String target = (query != null) ? path + "?" + query : path;
				run(context, connection, slot, claimResult.run(), teamId, new ServiceRequest(route, method, target,
						HeaderFilter.towardsService(headers(context), key), body, idempotent, exchange.cancellation()));
			}
		}
	}

	private void run(Context context, JettyConnection connection, OpenRequests.Slot slot, @Nullable ClaimedRun claimed,
			String teamId, ServiceRequest request) {
		ContextResponseSink responseSink = new ContextResponseSink(context, connection);
		try {
			this.proxy.run(request, claimed, responseSink);
			count(request, teamId, RequestOutcome.ANSWERED);
		}
		catch (CallerDisconnectedException ex) {
			count(request, teamId, RequestOutcome.CANCELLED);
			connection.abort();
		}
		catch (RouterException ex) {
			count(request, teamId, RequestOutcome.of(ex.type()));
			if (claimed != null) {
				claimed.releaseIfNotRun(ex);
			}
			if (!responseSink.begun) {
				throw ex;
			}
			slot.recordFailure(context.path(), ex);
			connection.abort();
		}
	}

	private void count(ServiceRequest request, String teamId, RequestOutcome outcome) {
		this.metrics.request(request.route().serviceId(), RequestClass.INTERACTIVE, teamId, outcome);
	}

	private static List<Header> headers(Context context) {
		List<Header> headers = new ArrayList<>();
		for (String name : Collections.list(context.req().getHeaderNames())) {
			Collections.list(context.req().getHeaders(name)).forEach((value) -> headers.add(new Header(name, value)));
		}
		return headers;
	}

	/**
	 * Writes the response of a plain service to the caller.
	 */
	private static final class ContextResponseSink implements ServiceResponseSink {

		private final Context context;

		private final JettyConnection connection;

		private long remainingBytes = -1;

		private boolean begun;

		ContextResponseSink(Context context, JettyConnection connection) {
			this.context = context;
			this.connection = connection;
		}

		@Override
		public void begin(int status, List<Header> headers, long contentLength) {
			this.begun = true;
			this.context.res().setStatus(status);
			this.context.status(status);
			headers.forEach((header) -> this.context.res().addHeader(header.name(), header.value()));
			this.context.res().setHeader(ErrorResponse.VERDICT, IdempotencyKeyHandler.verdict(status).headerValue());
			if (contentLength >= 0) {
				this.context.res().setContentLengthLong(contentLength);
				this.remainingBytes = contentLength;
			}
		}

		@Override
		public void write(byte[] buffer, int length) throws IOException {
			if (length > 0) {
				this.remainingBytes -= length;
				if (this.remainingBytes == 0) {
					// The caller may send its next request as soon as it has these bytes.
					this.connection.close();
				}
				this.context.res().getOutputStream().write(buffer, 0, length);
				this.context.res().getOutputStream().flush();
			}
		}

	}

}
