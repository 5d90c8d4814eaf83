package org.skylarkstack.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.hedging.ResponseTimes;
import org.skylarkstack.hedging.SecondAttemptBudget;
import org.skylarkstack.hedging.SecondAttemptDelay;
import org.skylarkstack.hedging.ServiceOccupancy;
import org.skylarkstack.hedging.WithheldReason;

/**
 * Decides which requests to plain services get a second attempt, when, and at which
 * server. Designed for servers that share their machines with other work, so that a slow
 * response says more about the server than about the request. Confined to one thread.
 */
public final class SecondAttempts {

	private final BackendDirectory backends;

	private final BackendChooser chooser;

	private final Map<String, ResponseTimes> responseTimes = new HashMap<>();

	private final RetryBudget retryBudget;

	private final SecondAttemptBudget budget;

	private final GatewayMetrics metrics;

	/**
	 * Creates the decision.
	 * @param backends the backend servers
	 * @param chooser chooses among the servers that may get a second attempt
	 * @param retryBudget limits the attempts beyond the first of each request
	 * @param budget limits the second attempts
	 * @param metrics counts the requests without a second attempt
	 */
	public SecondAttempts(BackendDirectory backends, BackendChooser chooser, RetryBudget retryBudget,
			SecondAttemptBudget budget, GatewayMetrics metrics) {
		this.backends = backends;
		this.chooser = chooser;
		this.retryBudget = retryBudget;
		this.budget = budget;
		this.metrics = metrics;
	}

	// Idempotent routes are the only ones that may be repeated even if their streams may
	// not be resumed.
	private boolean applyTo(ServiceRoute route, ServicePolicy service) {
		return this.budget.isEnabled() && service.engine() == null && route.kind().repeatable(false)
				&& route.maxAttempts() > 1;
	}

	/**
	 * Counts a request, which increases the budget of its service if it may get a second
	 * attempt.
	 * @param route the route of the request
	 * @param service its service
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	void recordRequest(ServiceRoute route, ServicePolicy service, long nowNanos) {
		if (applyTo(route, service)) {
			this.budget.recordRequest(service.name(), nowNanos);
		}
	}

	/**
	 * Records how long a call took that was answered, or that was cancelled because
	 * another one was answered.
	 * @param route the route of the request
	 * @param service its service
	 * @param millis the time since the request was sent, in milliseconds
	 */
	void recordTime(ServiceRoute route, ServicePolicy service, long millis) {
		if (applyTo(route, service)) {
			times(route).record(millis);
		}
	}

	private ResponseTimes times(ServiceRoute route) {
		return this.responseTimes.computeIfAbsent(route.name(), (name) -> new ResponseTimes());
	}

	/**
	 * Returns when a request gets a second attempt unless it has been answered.
	 * @param route the route of the request
	 * @param service its service
	 * @param first the server of the first attempt, which is sent now
	 * @param waitedMillis the time since the arrival of the request in milliseconds
	 * @param timeoutMillis the time between its arrival and its deadline in milliseconds
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the time until then in milliseconds, or a negative number for never
	 */
	long delayMillis(ServiceRoute route, ServicePolicy service, BackendState first, long waitedMillis,
			long timeoutMillis, long nowNanos) {
		if (!applyTo(route, service) || !first.pace().isStated(nowNanos)) {
			return SecondAttemptDelay.NONE;
		}
		long targetMillis = Math.min(route.targetMillis(), timeoutMillis);
		long delay = SecondAttemptDelay.delayMillis(times(route), targetMillis, waitedMillis);
		if (delay == SecondAttemptDelay.NONE) {
			this.metrics.secondAttemptWithheld(WithheldReason.LATE);
		}
		return delay;
	}

	/**
	 * Chooses the server of a second attempt that is due, and takes the attempt from the
	 * budgets.
	 * @param service the service of the request
	 * @param tried the identifiers of the servers that were tried
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the server, or {@code null} if the second attempt is withheld
	 */
	@Nullable BackendState choose(ServicePolicy service, Set<String> tried, long nowNanos) {
		if (!this.budget.permits(service.name(), nowNanos)) {
			withhold(WithheldReason.SHARE);
			return null;
		}
		List<BackendState> servers = this.backends.accepting(service.name(), BackendRole.NONE, (node) -> false,
				nowNanos);
		if (isBusy(servers, nowNanos)) {
			withhold(WithheldReason.BUSY);
			return null;
		}
		servers.removeIf((server) -> tried.contains(server.node().id()) || !maySend(server, nowNanos));
		BackendState chosen = this.chooser.choose(servers, service, nowNanos);
		if (chosen == null) {
			withhold(WithheldReason.NO_SERVER);
			return null;
		}
		if (!this.retryBudget.tryTake(service.name(), nowNanos)) {
			withhold(WithheldReason.RETRY_BUDGET);
			return null;
		}
		this.budget.recordSecondAttempt(service.name(), nowNanos);
		return chosen;
	}

	/**
	 * Counts a request that gets no second attempt.
	 * @param reason the reason
	 */
	void withhold(WithheldReason reason) {
		this.metrics.secondAttemptWithheld(reason);
	}

	private static boolean isBusy(List<BackendState> servers, long nowNanos) {
		ServiceOccupancy occupancy = new ServiceOccupancy();
		servers.forEach((server) -> occupancy.add(server.load(nowNanos), server.node().slots()));
		return occupancy.isBusy();
	}

	private static boolean maySend(BackendState server, long nowNanos) {
		return server.pace().isStated(nowNanos) && server.lastReportedLoad() < server.node().slots()
				&& !server.isAvoided(nowNanos) && !server.isFull(nowNanos) && server.condition().acceptsExtra(nowNanos);
	}

}
