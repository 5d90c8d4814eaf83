package org.skylarkstack.gateway;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;
import org.skylarkstack.edge.BackendCall;
import org.skylarkstack.edge.BackendFailure;
import org.skylarkstack.edge.CallerAnswer;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.kernel.Verdict;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Request on its way through backend servers. It ends exactly once: answered, refused,
 * timed out, or left by its caller. Confined to one thread.
 */
abstract class Exchange {

	private static final Logger log = LoggerFactory.getLogger(Exchange.class);

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final long RETRY_AFTER_MILLIS = 800;

	private final GatewayParts parts;

	private final ExchangeContext context;

	private final CallerAnswer answer;

	private final OpenExchanges open;

	private final Set<String> tried = new HashSet<>();

	private Verdict verdict = Verdict.NOT_RUN;

	private int attempts;

	private boolean over;

	private @Nullable BackendCall call;

	private @Nullable BackendState backend;

	private @Nullable Attempt attempt;

	private @Nullable ScheduledFuture<?> deadline;

	private @Nullable ScheduledFuture<?> attemptBound;

	Exchange(GatewayParts parts, ExchangeContext context, CallerAnswer answer, OpenExchanges open) {
		this.parts = parts;
		this.context = context;
		this.answer = answer;
		this.open = open;
	}

	final void start() {
		this.open.add(this);
		this.answer.onGone(this::callerGone);
		long nanos = Math.max(0, this.context.deadlineNanos() - System.nanoTime());
		this.deadline = this.parts.loop().schedule(this::deadlinePassed, nanos, TimeUnit.NANOSECONDS);
		begin();
	}

	/** Sends the first attempt. */
	abstract void begin();

	/**
	 * Returns the events that the caller got.
	 * @return the number of events
	 */
	long events() {
		return 0;
	}

	/**
	 * Returns how long the request waited for room.
	 * @return the time in milliseconds, negative if it was not admitted
	 */
	long waitedMillis() {
		return 0;
	}

	/**
	 * Returns how long the caller waited for the first event.
	 * @return the time in milliseconds, negative if there was none
	 */
	long firstEventMillis() {
		return -1;
	}

	/**
	 * Returns the last event that the caller got.
	 * @return the event's identifier, or {@code null}
	 */
	@Nullable String lastEvent() {
		return null;
	}

	/** Tidies up when the request has ended. */
	void ended() {
	}

	/** Releases what backend servers hold for this request. */
	void release() {
	}

	/** Ends the present call and its attempt, if there is one. */
	final void abandonCall() {
		cancelCall();
		Attempt last = this.attempt;
		if (last != null) {
			last.close();
		}
	}

	/**
	 * Breaks off an answer that has begun.
	 * @return whether one had begun
	 */
	boolean breakOff() {
		return false;
	}

	final GatewayParts parts() {
		return this.parts;
	}

	final ExchangeContext context() {
		return this.context;
	}

	final CallerAnswer answer() {
		return this.answer;
	}

	final boolean over() {
		return this.over;
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

	final @Nullable BackendState backend() {
		return this.backend;
	}

	/**
	 * Counts an attempt that a backend server may have received.
	 */
	final void countAttempt() {
		this.attempts++;
	}

	/**
	 * Takes note of what an attempt may have done.
	 * @param effect the verdict about the attempt
	 */
	final void effect(Verdict effect) {
		this.verdict = this.verdict.stronger(effect);
	}

	/**
	 * Sends an attempt.
	 * @param target the server
	 * @param plan how it is sent
	 * @param boundMillis the bound of the attempt in milliseconds, or 0 for none
	 * @param next learns what comes of it
	 */
	final void send(BackendState target, CallPlan plan, long boundMillis, Attempt next) {
		this.backend = target;
		this.attempt = next;
		this.tried.add(target.node().id());
		next.bind(target);
		this.call = this.parts.caller()
			.call(this.parts.dialect().encode(target.node().address(), this.context.request(), plan), next);
		bound(next, boundMillis);
	}

	/**
	 * Bounds the time until the present attempt shows a sign of life; replaces the former
	 * bound.
	 * @param bounded the attempt
	 * @param millis the bound in milliseconds, or 0 for none
	 */
	final void bound(Attempt bounded, long millis) {
		clearBound();
		if (millis > 0) {
			this.attemptBound = this.parts.loop().schedule(bounded::expire, millis, TimeUnit.MILLISECONDS);
		}
	}

	/** Ends the bound of the present attempt. */
	final void clearBound() {
		ScheduledFuture<?> bound = this.attemptBound;
		if (bound != null) {
			bound.cancel(false);
			this.attemptBound = null;
		}
	}

	/** Ends the present call without waiting for its answer. */
	final void cancelCall() {
		BackendCall current = this.call;
		if (current != null) {
			current.cancel();
			this.call = null;
		}
	}

	final boolean callSent() {
		BackendCall current = this.call;
		return current != null && current.sent();
	}

	/**
	 * Returns whether the present call may be running the request at a server.
	 * @return whether it was sent and is more than a preparation
	 */
	final boolean mayBeRunning() {
		Attempt last = this.attempt;
		return callSent() && last != null && last.runs();
	}

	/**
	 * Decides whether another attempt may follow.
	 * @param counted whether the last attempt reached a server
	 * @return whether it may
	 */
	final boolean mayRetry(boolean counted) {
		long now = System.nanoTime();
		if (this.over || this.context.deadlineNanos() - now <= 0
				|| !this.verdict.permitsRetry(this.context.route().repeatable())) {
			return false;
		}
		if (!counted) {
			return this.tried.size() <= this.context.route().maxAttempts() + 2;
		}
		return this.attempts < this.context.route().maxAttempts()
				&& this.parts.retries().tryTake(this.context.service().name(), now);
	}

	/**
	 * Ends the request because no attempt can answer it.
	 * @param failure the last failure, or {@code null} if no server was available
	 */
	final void giveUp(@Nullable BackendFailure failure) {
		String server = (this.backend != null) ? this.backend.node().id() : "none";
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
	 * Returns when a refused caller should return, spread so that callers that were
	 * refused together do not return together.
	 * @return the time in milliseconds
	 */
	long retryAfterMillis() {
		return RETRY_AFTER_MILLIS + this.parts.random().nextLong(RETRY_AFTER_MILLIS);
	}

	private void refuse(RouterException failure) {
		if (finish(failure.type().httpStatus(), failure.type().code())) {
			release();
			if (!breakOff()) {
				Gateway.refuse(this.parts, this.context.facts(), this.answer, failure);
			}
		}
	}

	/**
	 * Ends the request.
	 * @param status the HTTP status that the caller gets
	 * @param code the number of the error, or 0
	 * @return whether it had not ended before
	 */
	final boolean finish(int status, int code) {
		if (this.over) {
			return false;
		}
		this.over = true;
		this.open.remove(this);
		clearBound();
		ended();
		ScheduledFuture<?> timer = this.deadline;
		if (timer != null) {
			timer.cancel(false);
		}
		if (this.verdict == Verdict.RAN) {
			this.parts.suspects().succeeded(this.context.fingerprint());
		}
		TeamPolicy team = this.context.team();
		if (team != null && this.verdict == Verdict.NOT_RUN) {
			this.parts.limits().giveBack(team, team.cost(this.context.facts().statedTokens()));
		}
		this.parts.metrics().request(this.context.route().kind().name(), status, code);
		log.atInfo()
			.addKeyValue("event", "request-ended")
			.addKeyValue("id", this.context.facts().requestId())
			.addKeyValue("route", this.context.route().name())
			.addKeyValue("version", this.context.version())
			.addKeyValue("team", this.context.teamName())
			.addKeyValue("promptTokens", this.context.facts().promptTokens())
			.addKeyValue("outputTokens", this.context.facts().outputTokens())
			.addKeyValue("expectedTokens", this.context.facts().expectedOutputTokens())
			.addKeyValue("events", events())
			.addKeyValue("lastEvent", lastEvent())
			.addKeyValue("waitedMs", waitedMillis())
			.addKeyValue("firstEventMs", firstEventMillis())
			.addKeyValue("status", status)
			.addKeyValue("code", code)
			.addKeyValue("verdict", this.verdict.headerValue())
			.addKeyValue("attempts", this.attempts)
			.addKeyValue("server", (this.backend != null) ? this.backend.node().id() : "none")
			.addKeyValue("ms", (System.nanoTime() - this.context.arrivedNanos()) / NANOS_PER_MILLI)
			.log();
		return true;
	}

	private void callerGone() {
		if (finish(ErrorType.CALLER_GONE.httpStatus(), ErrorType.CALLER_GONE.code())) {
			abandonCall();
			release();
		}
	}

	private void deadlinePassed() {
		if (this.over) {
			return;
		}
		if (mayBeRunning()) {
			effect(Verdict.MAY_HAVE_RUN);
		}
		abandonCall();
		giveUp(new BackendFailure(BackendFailure.Kind.SILENT, this.verdict));
	}

}
