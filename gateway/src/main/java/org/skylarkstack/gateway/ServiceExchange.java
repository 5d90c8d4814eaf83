package org.skylarkstack.gateway;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.edge.BackendFailure;
import org.skylarkstack.edge.CallerResponse;
import org.skylarkstack.kernel.Verdict;

/**
 * Request to a plain service, that is one without model engines. The complete response is
 * read before any of it is sent to the caller, so that a request with a broken response
 * can be retried where the route allows it.
 */
final class ServiceExchange extends Exchange {

	// Share of the remaining time that an attempt may take if another may follow it.
	private static final double ATTEMPT_TIME_SHARE = 0.5;

	private static final long NANOS_PER_MILLI = 1_000_000;

	// Longest time until a request is sent, as a share of the latency target.
	private static final double MAX_WAIT_IN_TARGETS = 0.5;

	private static final double ELEVATED_ERROR_SHARE_FACTOR = 1.5;

	private static final double ELEVATED_ERROR_SHARE_MARGIN = 0.2;

	ServiceExchange(GatewayComponents components, ExchangeContext context, CallerResponse response,
			OpenExchanges open) {
		super(components, context, response, open);
	}

	@Override
	void begin() {
		attempt(null);
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
		long remaining = context().remainingMillis(now);
		boolean retryPossible = context().route().repeatable() && attempts() + 1 < context().route().maxAttempts();
		CallPlan plan = new CallPlan(target.node().id(), remaining, context().teamName(), context().priority(), false,
				null, context().facts().lastEventId());
		PlainAttempt attempt = new PlainAttempt(this);
		send(target, plan, retryPossible ? (long) (ATTEMPT_TIME_SHARE * remaining) : 0, attempt);
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
		long now = System.nanoTime();
		components().completionTimes()
			.recordResponse(context().route().name(), (now - attempt.sentNanos()) / NANOS_PER_MILLI);
		if (finish(head.status(), 0)) {
			components().metrics().firstByte(context().route().kind().name(), now - context().arrivedNanos());
			response().send(head.status(), components().dialect().forwardedHeaders(attempt.headers()), attempt.body());
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
				retryOrGiveUp(null, true);
				return;
			}
			this.exchange.combineVerdict(Verdict.MAY_HAVE_RUN);
			if (!head.signed()) {
				server().recordFailure(System.nanoTime());
				retryOrGiveUp(new BackendFailure(BackendFailure.Kind.MALFORMED, Verdict.MAY_HAVE_RUN), true);
				return;
			}
			server().recordResponse(head.status() >= SERVER_ERROR);
			if (head.status() < SERVER_ERROR) {
				server().recordSuccess();
				this.exchange.relay(this, head);
			}
			else if (this.exchange.hasElevatedErrorShare(server()) && this.exchange.mayRetry(true)) {
				this.exchange.attempt(null);
			}
			else {
				this.exchange.relay(this, head);
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

		private void retryOrGiveUp(@Nullable BackendFailure failure, boolean reachedServer) {
			if (this.exchange.mayRetry(reachedServer)) {
				this.exchange.attempt(failure);
			}
			else {
				this.exchange.giveUp(failure);
			}
		}

	}

}
