package org.skylarkstack.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.skylarkstack.configuration.EngineNode;
import org.skylarkstack.engine.EngineLoad;
import org.skylarkstack.schedule.OfferedRequest;
import org.skylarkstack.schedule.OraclePolicy;
import org.skylarkstack.schedule.Placement;
import org.skylarkstack.schedule.PlacementDecision;
import org.skylarkstack.schedule.PlacementPolicy;
import org.skylarkstack.schedule.PlacementRelease;
import org.skylarkstack.schedule.SchedulerOptions;

/**
 * Runs a placement policy against {@link ModelledPool} with given arrivals. Messages take
 * 1 ms each way, and load reports reach the policy 100 ms late. A policy with a shared
 * queue has one instance for all VMs, any other policy one instance for each VM.
 */
final class PolicyRun {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private static final long TICK_NANOS = NANOS_PER_MILLI;

	/**
	 * One-way delay of a message. Requests to a policy and its decisions have this delay
	 * only if the policy uses a shared queue.
	 */
	private static final long MESSAGE_DELAY_NANOS = NANOS_PER_MILLI;

	private static final long REPORT_PERIOD_NANOS = 250 * NANOS_PER_MILLI;

	private static final long REPORT_LAG_NANOS = 100 * NANOS_PER_MILLI;

	private final List<ModelledRequest> arrivals;

	private final long durationNanos;

	private final ModelledPool pool;

	private final List<EngineNode> engines;

	private final Map<String, PlacementPolicy> policies = new LinkedHashMap<>();

	private final Map<String, ModelledRequest> requests = new HashMap<>();

	private final PriorityQueue<DelayedAction> delayedActions = new PriorityQueue<>(
			Comparator.comparingLong(DelayedAction::nanos).thenComparingLong(DelayedAction::sequence));

	private final RandomGenerator random;

	private final boolean usesSharedQueue;

	private long sequence;

	private long nowNanos;

	PolicyRun(List<EngineNode> engines, List<ModelledRequest> arrivals, int vmCount, long durationNanos, long seed,
			Supplier<PlacementPolicy> factory) {
		this.engines = engines;
		this.arrivals = arrivals;
		this.durationNanos = durationNanos;
		this.random = new SplittableRandom(seed);
		this.pool = new ModelledPool(engines, this::onEnd, this::startPlacement);
		this.usesSharedQueue = factory.get().usesSharedQueue();
		for (int vm = 0; vm < (this.usesSharedQueue ? 1 : vmCount); vm++) {
			PlacementPolicy policy = factory.get();
			policy.setEngines(engines, 0);
			if (policy instanceof OraclePolicy oracle) {
				oracle.setEngineState(this.pool);
			}
			this.policies.put("vm" + vm, policy);
		}
	}

	private PlacementPolicy policyFor(ModelledRequest request) {
		PlacementPolicy vmPolicy = this.policies.get(request.vmId);
		return (vmPolicy != null) ? vmPolicy : this.policies.values().iterator().next();
	}

	PolicyResult run(double capacityCost, CostModel costs) {
		int nextArrival = 0;
		long nextReportNanos = 0;
		for (this.nowNanos = 0; this.nowNanos < this.durationNanos; this.nowNanos += TICK_NANOS) {
			this.pool.advance(this.nowNanos);
			while (nextArrival < this.arrivals.size() && this.arrivals.get(nextArrival).arrivalNanos <= this.nowNanos) {
				ModelledRequest request = this.arrivals.get(nextArrival++);
				this.requests.put(request.request.requestId(), request);
				schedule(policyDelayNanos(), () -> policyFor(request)
					.offer(new OfferedRequest(request.request, request.vmId, request.arrivalNanos), this.nowNanos));
			}
			if (this.nowNanos >= nextReportNanos) {
				nextReportNanos += REPORT_PERIOD_NANOS;
				scheduleLoadReports();
			}
			while (!this.delayedActions.isEmpty() && this.delayedActions.peek().nanos <= this.nowNanos) {
				this.delayedActions.poll().action.run();
			}
			this.policies.values()
				.forEach((policy) -> policy.poll(this.nowNanos, this.random).forEach(this::onDecision));
		}
		return result(capacityCost, costs);
	}

	private long policyDelayNanos() {
		return this.usesSharedQueue ? MESSAGE_DELAY_NANOS : 0;
	}

	private void schedule(long delayNanos, Runnable action) {
		this.delayedActions.add(new DelayedAction(this.nowNanos + delayNanos, this.sequence++, action));
	}

	private void scheduleLoadReports() {
		long readNanos = this.nowNanos;
		for (EngineNode engine : this.engines) {
			EngineLoad load = this.pool.load(engine.id(), readNanos);
			schedule(REPORT_LAG_NANOS, () -> this.policies.values()
				.forEach((policy) -> policy.applyLoadReport(engine.id(), load, this.nowNanos, this.nowNanos)));
		}
	}

	private void onDecision(PlacementDecision decision) {
		Placement placement = decision.placement();
		ModelledRequest request = this.requests.get(decision.requestId());
		if (placement == null || request == null) {
			return;
		}
		request.grantId = decision.grantId();
		if (!request.prefilled) {
			request.prefillEngineId = placement.prefillEngineId();
			request.decodeEngineId = placement.decodeEngineId();
			schedule(policyDelayNanos() + MESSAGE_DELAY_NANOS, () -> this.pool.start(request, this.nowNanos));
		}
	}

	private void startPlacement(Placement placement) {
		ModelledRequest request = this.requests.get(placement.requestId());
		if (request != null) {
			request.prefillEngineId = placement.prefillEngineId();
			request.decodeEngineId = placement.decodeEngineId();
			this.pool.start(request, this.nowNanos);
		}
	}

	private void onEnd(ModelledRequest request) {
		long served = request.finished ? request.request.promptTokens() + request.tokens : 0;
		schedule(policyDelayNanos() + MESSAGE_DELAY_NANOS, () -> policyFor(request).release(request.request.requestId(),
				request.grantId, new PlacementRelease(served, ""), this.nowNanos));
	}

	private PolicyResult result(double capacityCost, CostModel costs) {
		long withinTargets = 0;
		long wastedTokens = 0;
		Map<String, Double> demand = new TreeMap<>();
		Map<String, Double> served = new TreeMap<>();
		long firstTokenTargetNanos = SchedulerOptions.DEFAULT.firstTokenTargetNanos();
		long measuredUntilNanos = this.durationNanos - 20_000 * NANOS_PER_MILLI;
		for (ModelledRequest request : this.arrivals) {
			double cost = costs.cost(request.request.promptTokens(), request.outputTokens);
			if (request.arrivalNanos < measuredUntilNanos && isFeasible(request)) {
				demand.merge(request.request.teamId(), cost, Double::sum);
			}
			if (request.meetsTargets(firstTokenTargetNanos)) {
				withinTargets++;
				if (request.arrivalNanos < measuredUntilNanos) {
					served.merge(request.request.teamId(), cost, Double::sum);
				}
			}
			if (request.prefilled && !request.finished && request.prefillEndNanos < measuredUntilNanos) {
				wastedTokens += request.request.promptTokens();
			}
		}
		Map<String, Double> fairService = maxMinFairShares(demand, capacityCost * measuredUntilNanos);
		double worst = fairService.entrySet()
			.stream()
			.mapToDouble((entry) -> served.getOrDefault(entry.getKey(), 0.0) / entry.getValue())
			.min()
			.orElse(0);
		return new PolicyResult(withinTargets * 1e9 / this.durationNanos,
				(double) wastedTokens / Math.max(1, this.pool.prefilledTokens), worst);
	}

	/**
	 * Returns whether an idle pool can meet the first-token target of a request.
	 * Infeasible requests are excluded from a team's fair share, because no policy can
	 * serve them in time.
	 * @param request the request
	 * @return whether the request is feasible; always {@code true} for batch requests
	 */
	private boolean isFeasible(ModelledRequest request) {
		SchedulerOptions options = SchedulerOptions.DEFAULT;
		int prompt = request.request.promptTokens();
		double nanos = options.prefillOverheadNanos() + options.transferSetupNanos()
				+ prompt * 1e9 / this.engines.get(0).prefillTokensPerSecond()
				+ prompt * 1e9 / options.transferTokensPerSecond() + options.firstDecodeNanos();
		return !request.isInteractive() || nanos <= options.firstTokenTargetNanos();
	}

	/**
	 * Divides the capacity among teams by max-min fairness with equal weights.
	 * @param demand the demand of each team in engine milliseconds
	 * @param capacity the capacity in engine milliseconds
	 * @return the share of each team in engine milliseconds
	 */
	static Map<String, Double> maxMinFairShares(Map<String, Double> demand, double capacity) {
		Map<String, Double> shares = new TreeMap<>();
		List<Map.Entry<String, Double>> ascending = new ArrayList<>(demand.entrySet());
		ascending.sort(Map.Entry.comparingByValue());
		double remaining = capacity;
		for (int i = 0; i < ascending.size(); i++) {
			double share = Math.min(ascending.get(i).getValue(), remaining / (ascending.size() - i));
			shares.put(ascending.get(i).getKey(), share);
			remaining -= share;
		}
		return shares;
	}

	private record DelayedAction(long nanos, long sequence, Runnable action) {

	}

}
