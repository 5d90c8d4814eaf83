package org.skylarkstack.gateway;

import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;
import org.skylarkstack.edge.BackendFailure;
import org.skylarkstack.edge.CallerResponse;
import org.skylarkstack.hedging.SecondAttemptOutcome;
import org.skylarkstack.hedging.WithheldReason;
import org.skylarkstack.kernel.Verdict;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Request to a plain service, that is one without model engines. The complete response is
 * read before any of it is sent to the caller, so that a request with a broken response
 * can be retried where the route allows it. If its first attempt takes longer than usual,
 * {@link SecondAttempts} may send it to another server as well. The first complete
 * response is then relayed, and an attempt that fails is followed by another one only
 * after both have ended.
 */
final class ServiceExchange extends Exchange {

	private static final Logger log = LoggerFactory.getLogger(ServiceExchange.class);

	// Share of the remaining time that an attempt may take if another may follow it.
	private static final double ATTEMPT_TIME_SHARE = 0.5;

	private static final long NANOS_PER_MILLI = 1_000_000;

	// Longest time until a request is sent, as a share of the latency target.
	private static final double MAX_WAIT_IN_TARGETS = 0.5;

	private static final double ELEVATED_ERROR_SHARE_FACTOR = 1.5;

	private static final double ELEVATED_ERROR_SHARE_MARGIN = 0.2;

	private @Nullable ScheduledFuture<?> secondAttemptTimer;

	private @Nullable PlainAttempt first;

	private @Nullable PlainAttempt second;

	private @Nullable SecondAttemptOutcome secondOutcome;

	ServiceExchange(GatewayComponents components, ExchangeContext context, CallerResponse response,
			OpenExchanges open) {
		super(components, context, response, open);
	}

	@Override
	void begin() {
		components().secondAttempts().recordRequest(context().route(), context().service(), System.nanoTime());
		attempt(null);
	}

	@Override
	void ended() {
		ScheduledFuture<?> timer = this.secondAttemptTimer;
		if (timer != null) {
			timer.cancel(false);
		}
		settleSecondAttempt(SecondAttemptOutcome.LOST);
	}

	@Override
	String secondAttempt() {
		SecondAttemptOutcome outcome = this.secondOutcome;
		return (outcome != null) ? outcome.label() : super.secondAttempt();
	}

	@Override
	long requiredMillis(long nowNanos) {
		return components().completionTimes()
			.responseMillis(context().route().name(), context().route().targetMillis(),
					context().remainingMillis(nowNanos));
	}

	@Override
	long longestMillis(long nowNanos) {
		return context().remainingMillis(nowNanos);
	}

	@Override
	BackendRole serverRole() {
		return BackendRole.NONE;
	}

	private void attempt(@Nullable BackendFailure lastFailure) {
		long now = System.nanoTime();
		if (isFinished() || endIfNotStartable(now)) {
			return;
		}
		List<BackendState> candidates = components().state()
			.backends()
			.accepting(context().service().name(), BackendRole.NONE, (node) -> tried().contains(node.id()), now);
		BackendState target = components().backendChooser().choose(candidates, context().service(), now);
		if (target == null) {
			waitOrGiveUp(lastFailure, now);
			return;
		}
		PlainAttempt attempt = new PlainAttempt(this);
		boolean isFirst = tried().isEmpty();
		sendTo(target, attempt, now);
		if (isFirst) {
			this.first = attempt;
			scheduleSecondAttempt(attempt, now);
		}
	}

	private void sendTo(BackendState target, PlainAttempt attempt, long now) {
		long remaining = context().remainingMillis(now);
		boolean retryPossible = context().route().repeatable()
				&& attempts() + inFlight().count() + 1 < context().route().maxAttempts();
		CallPlan plan = new CallPlan(target.node().id(), remaining, context().teamName(), context().priority(), false,
				null, context().facts().lastEventId());
		send(target, plan, retryPossible ? (long) (ATTEMPT_TIME_SHARE * remaining) : 0, attempt);
	}

	private void scheduleSecondAttempt(PlainAttempt attempt, long now) {
		long waitedMillis = (now - context().arrivedNanos()) / NANOS_PER_MILLI;
		long delayMillis = components().secondAttempts()
			.delayMillis(context().route(), context().service(), attempt.server(), waitedMillis,
					waitedMillis + context().remainingMillis(now), now);
		if (delayMillis >= 0 && attempt.isOpen()) {
			this.secondAttemptTimer = components().loop()
				.schedule(() -> sendSecondAttempt(attempt, delayMillis), delayMillis, TimeUnit.MILLISECONDS);
		}
	}

	private void sendSecondAttempt(PlainAttempt beside, long delayMillis) {
		long now = System.nanoTime();
		if (isFinished() || !beside.isOpen()) {
			return;
		}
		BackendState target = chooseSecondServer(now);
		if (target == null) {
			return;
		}
		log.atInfo()
			.addKeyValue("event", "second-attempt")
			.addKeyValue("id", context().facts().requestId())
			.addKeyValue("route", context().route().name())
			.addKeyValue("delayMs", delayMillis)
			.addKeyValue("firstServer", beside.server().node().id())
			.addKeyValue("server", target.node().id())
			.log();
		PlainAttempt attempt = new PlainAttempt(this);
		this.second = attempt;
		sendTo(target, attempt, now);
	}

	private @Nullable BackendState chooseSecondServer(long now) {
		SecondAttempts secondAttempts = components().secondAttempts();
		if (components().suspects().refusal(context(), now) != null) {
			secondAttempts.withhold(WithheldReason.SUSPECT);
			return null;
		}
		if (!fitsIntoStop(now)) {
			secondAttempts.withhold(WithheldReason.STOPPING);
			return null;
		}
		return secondAttempts.choose(context().service(), tried(), now);
	}

	private void settleSecondAttempt(SecondAttemptOutcome outcome) {
		if (this.second != null && this.secondOutcome == null) {
			this.secondOutcome = outcome;
			components().metrics().secondAttempt(outcome);
		}
	}

	/**
	 * Continues a request after an attempt without a usable response: with the attempt
	 * that is still in flight, if there is one.
	 * @param attempt the attempt that has ended
	 * @return whether the request waits for another attempt
	 */
	private boolean awaitsOther(PlainAttempt attempt) {
		if (attempt == this.second) {
			settleSecondAttempt(SecondAttemptOutcome.FAILED);
		}
		PlainAttempt other = (attempt == this.second) ? this.first : this.second;
		if (other == null || !other.isOpen()) {
			return false;
		}
		select(other);
		return true;
	}

	// A request waits for a server that takes it soon only if it can still be answered
	// within its target.
	private void waitOrGiveUp(@Nullable BackendFailure lastFailure, long now) {
		long waitMillis = TimeUnit.NANOSECONDS.toMillis(components().state()
			.backends()
			.waitNanos(context().service().name(), BackendRole.NONE, (node) -> tried().contains(node.id()), now));
		long sentMillis = (now - context().arrivedNanos()) / NANOS_PER_MILLI + waitMillis;
		if (waitMillis > 0 && sentMillis <= MAX_WAIT_IN_TARGETS * context().route().targetMillis()) {
			components().loop().schedule(() -> attempt(lastFailure), waitMillis + 1, TimeUnit.MILLISECONDS);
		}
		else {
			giveUp(lastFailure);
		}
	}

	// An error that the request itself causes occurs at every server alike. Another
	// attempt is useful only if the server has a higher error share than the others.
	private boolean hasElevatedErrorShare(BackendState server) {
		double otherServersShare = components().state()
			.backends()
			.candidates(context().service().name(), BackendRole.NONE, (node) -> node.id().equals(server.node().id()))
			.stream()
			.mapToDouble(BackendState::errorShare)
			.average()
			.orElse(1);
		return server.errorShare() > ELEVATED_ERROR_SHARE_FACTOR * otherServersShare + ELEVATED_ERROR_SHARE_MARGIN;
	}

	private void relay(PlainAttempt attempt, ResponseHead head) {
		combineVerdict(Verdict.RAN);
		select(attempt);
		long now = System.nanoTime();
		recordTimes(attempt, now);
		settleSecondAttempt((attempt == this.second) ? SecondAttemptOutcome.WON : SecondAttemptOutcome.LOST);
		if (finish(head.status(), 0)) {
			components().metrics().firstByte(context().route().kind().name(), now - context().arrivedNanos());
			response().send(head.status(), components().dialect().forwardedHeaders(attempt.headers()), attempt.body());
		}
	}

	// A first attempt that is cancelled counts with the time that it has taken so far.
	// Without it, the times would not contain those of the slowest servers.
	private void recordTimes(PlainAttempt answered, long now) {
		long millis = (now - answered.sentNanos()) / NANOS_PER_MILLI;
		PlainAttempt begun = (answered == this.second && this.first != null) ? this.first : answered;
		components().completionTimes()
			.recordResponse(context().route().name(), (now - begun.sentNanos()) / NANOS_PER_MILLI);
		components().secondAttempts().recordTime(context().route(), context().service(), millis);
		PlainAttempt cancelled = this.first;
		if (cancelled != null && cancelled != answered && cancelled.isOpen()) {
			components().secondAttempts()
				.recordTime(context().route(), context().service(), (now - cancelled.sentNanos()) / NANOS_PER_MILLI);
		}
	}

	/**
	 * One call to a server of the service.
	 */
	private static final class PlainAttempt extends Attempt {

		private static final int SERVER_ERROR = 500;

		private final ServiceExchange exchange;

		PlainAttempt(ServiceExchange exchange) {
			super(exchange, "service");
			this.exchange = exchange;
		}

		@Override
		void responseReceived(ResponseHead head) {
			this.exchange.countAttempt();
			if (head.notExecuted()) {
				server().recordFullRefusal(System.nanoTime());
				retryOrGiveUp(null, true);
				return;
			}
			this.exchange.combineVerdict(Verdict.MAY_HAVE_RUN);
			if (!head.signed()) {
				server().recordFailure(System.nanoTime());
				retryOrGiveUp(new BackendFailure(BackendFailure.Kind.MALFORMED, Verdict.MAY_HAVE_RUN), true);
				return;
			}
			boolean unprovenRefusal = head.isUnprovenRefusal();
			server().recordResponse(unprovenRefusal || head.status() >= SERVER_ERROR);
			if (unprovenRefusal) {
				retryOrGiveUp(new BackendFailure(BackendFailure.Kind.UNPROVEN_REFUSAL, Verdict.MAY_HAVE_RUN), true);
			}
			else if (head.status() < SERVER_ERROR) {
				server().recordSuccess();
				this.exchange.relay(this, head);
			}
			else if (!this.exchange.hasElevatedErrorShare(server())) {
				this.exchange.relay(this, head);
			}
			else if (!this.exchange.awaitsOther(this)) {
				retryOrRelay(head);
			}
		}

		@Override
		void callFailed(BackendFailure failure) {
			this.exchange.combineVerdict(failure.verdict());
			if (failure.reachedServer()) {
				this.exchange.countAttempt();
			}
			retryOrGiveUp(failure, failure.reachedServer());
		}

		private void retryOrRelay(ResponseHead head) {
			if (this.exchange.mayRetry(true)) {
				this.exchange.attempt(null);
			}
			else {
				this.exchange.relay(this, head);
			}
		}

		private void retryOrGiveUp(@Nullable BackendFailure failure, boolean reachedServer) {
			if (this.exchange.awaitsOther(this)) {
				return;
			}
			if (this.exchange.mayRetry(reachedServer)) {
				this.exchange.attempt(failure);
			}
			else {
				this.exchange.giveUp(failure);
			}
		}

	}

}
