package org.skylarkstack.gateway;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;
import org.skylarkstack.edge.BackendCall;
import org.skylarkstack.edge.BackendFailure;
import org.skylarkstack.edge.BackendRequest;
import org.skylarkstack.edge.CallerResponse;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.kernel.Verdict;

/**
 * An admitted request from its admission to its end. It ends exactly once: with a
 * response, a refusal or a timeout, or because its caller has disconnected. Confined to
 * one thread.
 */
abstract class Exchange {

	private static final long MIN_RETRY_AFTER_MILLIS = 800;

	// Other VMs can serve the request immediately. The delay only spreads the retries.
	private static final long MIN_STOP_RETRY_AFTER_MILLIS = 50;

	private static final long MAX_STOP_RETRY_AFTER_MILLIS = 250;

	private final GatewayComponents components;

	private final ExchangeContext context;

	private final CallerResponse response;

	private final OpenExchanges open;

	private final Set<String> tried = new HashSet<>();

	private Verdict verdict = Verdict.NOT_RUN;

	private int attempts;

	private boolean finished;

	private @Nullable BackendState backend;

	private @Nullable Attempt attempt;

	private final AttemptsInFlight inFlight = new AttemptsInFlight();

	private @Nullable ScheduledFuture<?> deadlineTimer;

	Exchange(GatewayComponents components, ExchangeContext context, CallerResponse response, OpenExchanges open) {
		this.components = components;
		this.context = context;
		this.response = response;
		this.open = open;
	}

	final void start() {
		this.open.add(this);
		this.response.onDisconnect(this::callerDisconnected);
		this.response.awaitedUntil(this.context.deadlineNanos());
		long nanos = Math.max(0, this.context.deadlineNanos() - System.nanoTime());
		this.deadlineTimer = this.components.loop().schedule(this::deadlinePassed, nanos, TimeUnit.NANOSECONDS);
		begin();
	}

	/** Sends the first attempt, or queues the request until it can be sent. */
	abstract void begin();

	/**
	 * Returns the number of events that were sent to the caller.
	 * @return the number, 0 if the response is not a stream
	 */
	long events() {
		return 0;
	}

	/**
	 * Returns the time that the request waited for free capacity at an engine.
	 * @return the time in milliseconds, negative if no engine was assigned
	 */
	long waitedMillis() {
		return 0;
	}

	/**
	 * Returns the time from the arrival of the request to the first event.
	 * @return the time in milliseconds, negative if no event was sent
	 */
	long firstEventMillis() {
		return -1;
	}

	/**
	 * Returns the last event that was sent to the caller.
	 * @return the event's identifier, or {@code null} if there is none
	 */
	@Nullable String lastEvent() {
		return null;
	}

	/** Frees the local resources of this request. Called once when it ends. */
	void ended() {
	}

	/** Releases the resources that backend servers hold for this request. */
	void release() {
	}

	/** Cancels the calls of all attempts in flight and closes the attempts. */
	final void abandonAttempts() {
		this.inFlight.abandon();
	}

	/**
	 * Returns the outcome of the second attempt for the log.
	 * @return {@code none} if there was none
	 */
	String secondAttempt() {
		return "none";
	}

	/**
	 * Aborts the response to the caller if it has been started.
	 * @return whether it had been started
	 */
	boolean abortResponse() {
		return false;
	}

	final GatewayComponents components() {
		return this.components;
	}

	final ExchangeContext context() {
		return this.context;
	}

	final CallerResponse response() {
		return this.response;
	}

	final boolean isFinished() {
		return this.finished;
	}

	final Verdict verdict() {
		return this.verdict;
	}

	final int attempts() {
		return this.attempts;
	}

	final Set<String> tried() {
		return this.tried;
	}

	/**
	 * Returns the server that the outcome of the request is attributed to.
	 * @return its identifier, or {@code none} if the request was not sent
	 */
	final String serverId() {
		BackendState last = this.backend;
		return (last != null) ? last.node().id() : "none";
	}

	/** Counts an attempt that a backend server may have received. */
	final void countAttempt() {
		this.attempts++;
	}

	/**
	 * Updates the verdict about the request with that about one attempt. The request
	 * takes the attempt's verdict if it states more effect than its own, in the order
	 * {@link Verdict#NOT_RUN}, {@link Verdict#MAY_HAVE_RUN}, {@link Verdict#RAN}.
	 * @param attemptVerdict whether the attempt may have run the request
	 */
	final void combineVerdict(Verdict attemptVerdict) {
		this.verdict = this.verdict.combine(attemptVerdict);
	}

	/**
	 * Sends an attempt to a server.
	 * @param target the server
	 * @param plan the parameters of the attempt
	 * @param timeoutMillis the timeout of the attempt in milliseconds, or 0 for none
	 * @param next the attempt, which receives the response
	 */
	final void send(BackendState target, CallPlan plan, long timeoutMillis, Attempt next) {
		next.bind(target);
		select(next);
		this.inFlight.add(next);
		this.tried.add(target.node().id());
		next.countRequest();
		next.attach(
				open(this.components.dialect().encode(target.node().address(), this.context.request(), plan), next));
		next.setTimeout(timeoutMillis);
	}

	/**
	 * Starts the call of an attempt.
	 * @param request the encoded request
	 * @param next the attempt, which receives the response
	 * @return the call in progress
	 */
	BackendCall open(BackendRequest request, Attempt next) {
		return this.components.backendClient().call(request, next);
	}

	/**
	 * Selects the attempt that the outcome of the request is attributed to.
	 * @param chosen the attempt, which was sent to a server
	 */
	final void select(Attempt chosen) {
		this.attempt = chosen;
		this.backend = chosen.server();
	}

	/**
	 * Returns the attempts that have no outcome yet.
	 * @return the attempts, updated in place
	 */
	final AttemptsInFlight inFlight() {
		return this.inFlight;
	}

	/**
	 * Returns whether a server may be running the request.
	 * @return whether an attempt in flight was sent and executes the request
	 */
	final boolean mayBeRunning() {
		return this.inFlight.mayBeRunning();
	}

	/**
	 * Decides whether another attempt may follow, and if so, takes it from the retry
	 * budget. An attempt after one that did not reach a server does not use the budget;
	 * only the number of servers tried is limited then.
	 * @param reachedServer whether the last attempt may have reached a server
	 * @return whether another attempt may be sent
	 */
	final boolean mayRetry(boolean reachedServer) {
		long now = System.nanoTime();
		if (!canRetry(now)) {
			return false;
		}
		if (!reachedServer) {
			return this.tried.size() <= this.context.route().maxAttempts() + 2;
		}
		return this.attempts < this.context.route().maxAttempts()
				&& this.components.retryBudget().tryTake(this.context.service().name(), now);
	}

	private boolean canRetry(long now) {
		return !this.finished && this.context.deadlineNanos() - now > 0
				&& this.verdict.permitsRetry(this.context.route().repeatable());
	}

	/**
	 * Returns whether another attempt could follow the one in progress if that failed at
	 * its server now. Takes nothing from the retry budget.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return whether the route, the deadline and the retry budget permit it
	 */
	final boolean couldFollow(long nowNanos) {
		return canRetry(nowNanos) && this.attempts + 1 < this.context.route().maxAttempts()
				&& this.components.retryBudget().hasRetry(this.context.service().name(), nowNanos);
	}

	/**
	 * Refuses the request because no further attempt is possible.
	 * @param failure the last failure, or {@code null} if no server was available
	 */
	final void giveUp(@Nullable BackendFailure failure) {
		String server = serverId();
		if (this.verdict == Verdict.NOT_RUN) {
			refuse(RouterException.retryAfter(ErrorType.NO_ENGINE, Duration.ofMillis(retryAfterMillis()),
					this.context.service().name()));
		}
		else if (failure != null && failure.kind() == BackendFailure.Kind.SILENT) {
			refuse(RouterException.of(ErrorType.BACKEND_TIMEOUT, this.verdict, null, server, 0));
		}
		else {
			refuse(RouterException.of(ErrorType.BACKEND_FAILED, this.verdict, null, server,
					(failure != null) ? failure.kind() : "no other server is available"));
		}
	}

	/**
	 * Returns the time after which a refused caller should retry, at the earliest when a
	 * server takes a request again. It is randomized so that callers that were refused
	 * together do not retry together.
	 * @return the time in milliseconds
	 */
	long retryAfterMillis() {
		return serverWaitMillis() + MIN_RETRY_AFTER_MILLIS + this.components.random().nextLong(MIN_RETRY_AFTER_MILLIS);
	}

	/**
	 * Returns when a server takes a request of some daemon, whatever has been tried.
	 * @return the time until then in milliseconds, 0 if one takes a request now
	 */
	final long serverWaitMillis() {
		return TimeUnit.NANOSECONDS.toMillis(this.components.state()
			.backends()
			.fleetWaitNanos(this.context.service().name(), serverRole(), System.nanoTime()));
	}

	/**
	 * Returns the role of the servers that run this request.
	 * @return the role
	 */
	abstract BackendRole serverRole();

	/**
	 * Returns the time that the request still needs until its response is complete if an
	 * attempt starts now.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the estimate in milliseconds
	 */
	abstract long requiredMillis(long nowNanos);

	/**
	 * Returns the longest time until the request has ended if an attempt starts now: with
	 * its complete response, or at its deadline.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the upper bound in milliseconds
	 */
	abstract long longestMillis(long nowNanos);

	/**
	 * Returns whether an attempt may start as far as the stop of the daemon is concerned.
	 * A request that may have run is continued by estimate, because a refusal would not
	 * tell its caller more than the end of the stop.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return whether the daemon is not stopping, or the request fits into the time left
	 */
	final boolean fitsIntoStop(long nowNanos) {
		DrainWindow window = this.components.state().drainWindow();
		if (!window.isClosing()) {
			return true;
		}
		boolean certain = this.verdict == Verdict.NOT_RUN && window.requiresCertainty(this.context.arrivedNanos());
		return window.permits(certain ? longestMillis(nowNanos) : requiredMillis(nowNanos), nowNanos);
	}

	/**
	 * Ends the request if no attempt may start any more: it is suspected of crashing
	 * servers by now, or it would not be complete before the daemon stops.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return whether it has ended
	 */
	final boolean endIfNotStartable(long nowNanos) {
		RouterException refusal = this.components.suspects().refusal(this.context, nowNanos);
		if (refusal == null && !fitsIntoStop(nowNanos)) {
			refusal = stopRefusal();
		}
		if (refusal == null) {
			return false;
		}
		refuseBecauseOf(refusal);
		return true;
	}

	private RouterException stopRefusal() {
		return RouterException.retryAfter(ErrorType.NOT_READY, Duration
			.ofMillis(this.components.random().nextLong(MIN_STOP_RETRY_AFTER_MILLIS, MAX_STOP_RETRY_AFTER_MILLIS)));
	}

	private void refuseBecauseOf(RouterException refusal) {
		String server = serverId();
		refuse((this.verdict == Verdict.NOT_RUN) ? refusal
				: RouterException.of(ErrorType.BACKEND_FAILED, this.verdict, refusal, server, refusal.type()));
	}

	/** Ends the request with its verdict because the daemon stops now. */
	final void endForStop() {
		if (this.finished) {
			return;
		}
		if (mayBeRunning()) {
			combineVerdict(Verdict.MAY_HAVE_RUN);
		}
		abandonAttempts();
		refuseBecauseOf(stopRefusal());
	}

	private void refuse(RouterException failure) {
		if (finish(failure.httpStatus(), failure.type().code())) {
			release();
			if (!abortResponse()) {
				Gateway.refuse(this.components, this.context.facts(), this.response, failure);
			}
		}
	}

	/**
	 * Ends the request and logs it, unless it has ended before.
	 * @param status the HTTP status that the caller gets
	 * @param code the error code, or 0 if there is no error
	 * @return {@code false} if the request had ended before
	 */
	final boolean finish(int status, int code) {
		if (this.finished) {
			return false;
		}
		this.finished = true;
		this.open.remove(this);
		abandonAttempts();
		ended();
		ScheduledFuture<?> timer = this.deadlineTimer;
		if (timer != null) {
			timer.cancel(false);
		}
		Attempt last = this.attempt;
		if (this.verdict == Verdict.RAN && last != null) {
			this.components.suspects().recordCompleted(this.context, last.sentNanos(), System.nanoTime());
		}
		TeamPolicy team = this.context.team();
		if (team != null && this.verdict == Verdict.NOT_RUN) {
			this.components.limits().refund(team, team.cost(this.context.facts().statedTokens()));
		}
		this.components.metrics().request(this.context.route().kind().name(), status, code);
		ExchangeLog.ended(this, status, code, System.nanoTime());
		return true;
	}

	private void callerDisconnected() {
		if (finish(ErrorType.CALLER_GONE.httpStatus(), ErrorType.CALLER_GONE.code())) {
			release();
		}
	}

	private void deadlinePassed() {
		if (this.finished) {
			return;
		}
		if (mayBeRunning()) {
			combineVerdict(Verdict.MAY_HAVE_RUN);
		}
		abandonAttempts();
		giveUp(new BackendFailure(BackendFailure.Kind.SILENT, this.verdict));
	}

}
