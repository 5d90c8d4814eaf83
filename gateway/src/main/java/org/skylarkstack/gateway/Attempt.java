package org.skylarkstack.gateway;

import java.util.concurrent.TimeUnit;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;
import org.skylarkstack.edge.BackendCall;
import org.skylarkstack.edge.BackendFailure;
import org.skylarkstack.edge.BackendListener;
import org.skylarkstack.edge.BodyBuffer;
import org.skylarkstack.kernel.Verdict;
import org.skylarkstack.response.ResponseCompleteness;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One call to a backend server for a request. Updates the load and health of the server
 * in its {@link BackendState}, and logs the outcome of the call.
 */
abstract class Attempt implements BackendListener {

	private static final Logger log = LoggerFactory.getLogger(Attempt.class);

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final Exchange exchange;

	private final String stage;

	private final BodyBuffer body;

	private final long startedNanos = System.nanoTime();

	private @Nullable BackendState server;

	private @Nullable ResponseHead responseHead;

	private HttpHeaders headers = new DefaultHttpHeaders();

	private @Nullable BackendCall call;

	private @Nullable ScheduledFuture<?> timeout;

	private boolean closed;

	Attempt(Exchange exchange, String stage) {
		this.exchange = exchange;
		this.stage = stage;
		this.body = exchange.components().bodyBudget().open(this::rejectOversized);
	}

	final void bind(BackendState target) {
		this.server = target;
		target.recordRequestOpened(this.startedNanos);
	}

	/**
	 * Sets the call whose response this attempt receives. A call may fail before it is
	 * set.
	 * @param started the call
	 */
	final void attach(BackendCall started) {
		this.call = started;
		if (this.closed) {
			started.cancel();
		}
	}

	/**
	 * Sets the timeout of this attempt and replaces the previous one. Has no effect on a
	 * closed attempt.
	 * @param millis the timeout in milliseconds, or 0 for none
	 */
	final void setTimeout(long millis) {
		cancelTimeout();
		if (millis > 0 && !this.closed) {
			this.timeout = this.exchange.components().loop().schedule(this::expire, millis, TimeUnit.MILLISECONDS);
		}
	}

	/** Cancels the timeout of this attempt. */
	final void cancelTimeout() {
		ScheduledFuture<?> timer = this.timeout;
		if (timer != null) {
			timer.cancel(false);
			this.timeout = null;
		}
	}

	/**
	 * Pauses or resumes reading the response.
	 * @param reading whether to read
	 */
	final void setReading(boolean reading) {
		BackendCall current = this.call;
		if (current != null) {
			current.setReading(reading);
		}
	}

	/**
	 * Returns whether this attempt is in flight.
	 * @return {@code false} once it has an outcome or was abandoned
	 */
	final boolean isOpen() {
		return !this.closed;
	}

	/**
	 * Returns whether the server may be running the request in this attempt at present.
	 * @return whether it is in flight, was sent and executes the request
	 */
	final boolean mayBeRunning() {
		return !this.closed && executesRequest() && wasSent();
	}

	private boolean wasSent() {
		BackendCall current = this.call;
		return current != null && current.sent();
	}

	final BackendState server() {
		BackendState bound = this.server;
		if (bound == null) {
			throw new IllegalStateException("the attempt has not been sent to a server yet");
		}
		return bound;
	}

	final ResponseHead responseHead() {
		ResponseHead known = this.responseHead;
		if (known == null) {
			throw new IllegalStateException("the response head has not been received yet");
		}
		return known;
	}

	final HttpHeaders headers() {
		return this.headers;
	}

	final byte[] body() {
		return this.body.toByteArray();
	}

	@Override
	public final void head(int status, HttpHeaders received) {
		this.headers = received;
		this.responseHead = this.exchange.components().dialect().responseHead(status, received);
		server().condition()
			.apply(this.responseHead.notice(), this.exchange.context().facts().requestId(), System.nanoTime());
		if (this.responseHead.requestsAtServer() >= 0) {
			server().recordLoadReport(this.responseHead.requestsAtServer(), System.nanoTime());
		}
		if (!Double.isNaN(this.responseHead.pace())) {
			server().pace().record(this.responseHead.pace(), System.nanoTime());
		}
		if (!this.exchange.isFinished()) {
			headReceived();
		}
	}

	// A server of a stream route is not required to name the content type.
	@Override
	public final boolean expectsEvents() {
		return executesRequest() && responseHead().success()
				&& (this.exchange.context().route().kind() == RouteKind.STREAM
						|| ResponseCompleteness.isEventStream(this.headers.get(HttpHeaderNames.CONTENT_TYPE, "")));
	}

	/**
	 * Returns whether this attempt executes the request, rather than preparing it as a
	 * prefill does.
	 * @return whether the request may have run once this attempt was sent
	 */
	boolean executesRequest() {
		return true;
	}

	/**
	 * Returns whether the server has begun to write a response in this attempt.
	 * @return whether part of the response itself, beyond its head, was received
	 */
	boolean responseStarted() {
		return false;
	}

	/** Counts this attempt as a request of the server that it is bound to. */
	void countRequest() {
		server().condition().countRequest(this.startedNanos);
	}

	final long sentNanos() {
		return this.startedNanos;
	}

	/**
	 * Called when the head of the response was received and the exchange is still open.
	 */
	void headReceived() {
	}

	@Override
	public void data(byte[] part) {
		this.body.append(part);
	}

	@Override
	public final void ended() {
		if (close()) {
			log("status-" + responseHead().status());
			if (!this.exchange.isFinished()) {
				responseReceived(responseHead());
			}
			this.body.release();
		}
	}

	@Override
	public final void failed(BackendFailure failure) {
		if (close()) {
			log(failure.kind().name());
			server().recordFailure(System.nanoTime());
			if (failure.kind() == BackendFailure.Kind.BROKEN && executesRequest()) {
				checkForCrash();
			}
			if (!this.exchange.isFinished()) {
				callFailed(failure);
			}
			this.body.release();
		}
	}

	// A connection also breaks when only the response is lost. The server counts as
	// crashed only if it accepts no new connection.
	final void checkForCrash() {
		GatewayComponents components = this.exchange.components();
		if (components.state().backends().isEvacuated(server().node())) {
			return;
		}
		ExchangeContext context = this.exchange.context();
		boolean started = responseStarted();
		long brokenNanos = System.nanoTime();
		components.backendClient().probe(server().node().address(), (reachable) -> {
			if (!reachable) {
				components.suspects().recordCrash(server().node(), context, started, brokenNanos, System.nanoTime());
				components.admission().notifyUsageChanged();
				log.atWarn()
					.addKeyValue("event", "crash-suspect")
					.addKeyValue("id", context.facts().requestId())
					.addKeyValue("server", server().node().id())
					.addKeyValue("fingerprint", context.fingerprint())
					.addKeyValue("sharedParts", context.facts().sharedParts())
					.addKeyValue("responseStarted", started)
					.log();
			}
		});
	}

	final void expire() {
		if (this.closed || this.exchange.isFinished()) {
			return;
		}
		long furtherMillis = furtherWaitMillis(System.nanoTime());
		if (furtherMillis > 0) {
			setTimeout(furtherMillis);
		}
		else {
			cancel(BackendFailure.Kind.SILENT);
		}
	}

	/**
	 * Returns how long the attempt may continue after its timeout has expired.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the time in milliseconds, 0 to end the attempt
	 */
	long furtherWaitMillis(long nowNanos) {
		return 0;
	}

	/** Ends the attempt because its response is too large. */
	final void rejectOversized() {
		if (!this.closed && !this.exchange.isFinished()) {
			cancel(BackendFailure.Kind.OVERSIZED);
		}
	}

	private void cancel(BackendFailure.Kind kind) {
		ResponseHead head = this.responseHead;
		boolean refused = head != null && head.notExecuted();
		Verdict verdict = (executesRequest() && wasSent() && !refused) ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
		cancelCall();
		failed(new BackendFailure(kind, verdict));
	}

	private void cancelCall() {
		BackendCall current = this.call;
		if (current != null) {
			current.cancel();
		}
	}

	/** Cancels the call and ends the attempt without an outcome. */
	final void abandon() {
		cancelCall();
		close();
		this.body.release();
	}

	/**
	 * Removes this attempt from the open requests of its server.
	 * @return {@code false} if this was done before
	 */
	final boolean close() {
		if (this.closed) {
			return false;
		}
		this.closed = true;
		cancelTimeout();
		server().recordRequestClosed();
		return true;
	}

	/**
	 * Called when the complete response was received and the exchange is still open.
	 * @param head the decoded head of the response
	 */
	abstract void responseReceived(ResponseHead head);

	/**
	 * Called when the call failed and the exchange is still open.
	 * @param failure the kind of failure, and whether the request may have run
	 */
	abstract void callFailed(BackendFailure failure);

	private void log(String outcome) {
		this.exchange.components().metrics().attempt(this.stage, outcome);
		log.atInfo()
			.addKeyValue("event", "attempt-ended")
			.addKeyValue("id", this.exchange.context().facts().requestId())
			.addKeyValue("stage", this.stage)
			.addKeyValue("server", server().node().id())
			.addKeyValue("address", server().node().address())
			.addKeyValue("outcome", outcome)
			.addKeyValue("notExecuted", this.responseHead != null && this.responseHead.notExecuted())
			.addKeyValue("openTokens", server().openTokens())
			.addKeyValue("load", "%.1f".formatted(server().load(System.nanoTime())))
			.addKeyValue("ms", (System.nanoTime() - this.startedNanos) / NANOS_PER_MILLI)
			.log();
	}

}
