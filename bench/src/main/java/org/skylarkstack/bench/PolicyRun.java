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
 * One run of a policy against {@link ModelledPool} with given arrivals. Messages take one
 * millisecond each way and load reports are old; a policy with a shared queue decides for
 * all VMs, any other has one instance for each VM.
 */
final class PolicyRun {

	private static final long MILLIS = 1_000_000L;

	private static final long TICK_NANOS = MILLIS;

	/** A placement is asked for and answered in this time; a shared policy only. */
	private static final long MESSAGE_NANOS = MILLIS;

	private static final long REPORT_PERIOD_NANOS = 250 * MILLIS;

	private static final long REPORT_LAG_NANOS = 100 * MILLIS;

	private final List<ModelledRequest> arrivals;

	private final long durationNanos;

	private final ModelledPool pool;

	private final List<EngineNode> engines;

	private final Map<String, PlacementPolicy> policies = new LinkedHashMap<>();

	private final Map<String, ModelledRequest> requests = new HashMap<>();

	private final PriorityQueue<Delayed> delayed = new PriorityQueue<>(
			Comparator.comparingLong(Delayed::nanos).thenComparingLong(Delayed::sequence));

	private final RandomGenerator random;

	private final boolean shared;

	private long sequence;

	private long nowNanos;

	PolicyRun(List<EngineNode> engines, List<ModelledRequest> arrivals, int vmCount, long durationNanos, long seed,
			Supplier<PlacementPolicy> factory) {
		this.engines = engines;
		this.arrivals = arrivals;
		this.durationNanos = durationNanos;
		this.random = new SplittableRandom(seed);
		this.pool = new ModelledPool(engines, this::ended, this::startAtOnce);
		this.shared = factory.get().shared();
		for (int vm = 0; vm < (this.shared ? 1 : vmCount); vm++) {
			PlacementPolicy policy = factory.get();
			policy.engines(engines, 0);
			if (policy instanceof OraclePolicy oracle) {
				oracle.observe(this.pool);
			}
			this.policies.put("vm" + vm, policy);
		}
	}

	private PlacementPolicy policy(ModelledRequest request) {
		PlacementPolicy own = this.policies.get(request.vmId);
		return (own != null) ? own : this.policies.values().iterator().next();
	}

	PolicyResult run(double capacityCost, CostModel costs) {
		int next = 0;
		long nextReport = 0;
		for (this.nowNanos = 0; this.nowNanos < this.durationNanos; this.nowNanos += TICK_NANOS) {
			this.pool.advance(this.nowNanos);
			while (next < this.arrivals.size() && this.arrivals.get(next).arrivedNanos <= this.nowNanos) {
				ModelledRequest request = this.arrivals.get(next++);
				this.requests.put(request.request.requestId(), request);
				later(delay(), () -> policy(request)
					.offer(new OfferedRequest(request.request, request.vmId, request.arrivedNanos), this.nowNanos));
			}
			if (this.nowNanos >= nextReport) {
				nextReport += REPORT_PERIOD_NANOS;
				report();
			}
			while (!this.delayed.isEmpty() && this.delayed.peek().nanos <= this.nowNanos) {
				this.delayed.poll().action.run();
			}
			this.policies.values().forEach((policy) -> policy.poll(this.nowNanos, this.random).forEach(this::decided));
		}
		return result(capacityCost, costs);
	}

	private long delay() {
		return this.shared ? MESSAGE_NANOS : 0;
	}

	private void later(long delayNanos, Runnable action) {
		this.delayed.add(new Delayed(this.nowNanos + delayNanos, this.sequence++, action));
	}

	private void report() {
		long readNanos = this.nowNanos;
		for (EngineNode engine : this.engines) {
			EngineLoad load = this.pool.load(engine.id(), readNanos);
			later(REPORT_LAG_NANOS, () -> this.policies.values()
				.forEach((policy) -> policy.loadReport(engine.id(), load, this.nowNanos, this.nowNanos)));
		}
	}

	private void decided(PlacementDecision decision) {
		Placement placement = decision.placement();
		ModelledRequest request = this.requests.get(decision.requestId());
		if (placement == null || request == null) {
			return;
		}
		request.grantId = decision.grantId();
		if (!request.prefilled) {
			request.prefillEngineId = placement.prefillEngineId();
			request.decodeEngineId = placement.decodeEngineId();
			later(delay() + MESSAGE_NANOS, () -> this.pool.start(request, this.nowNanos));
		}
	}

	private void startAtOnce(Placement placement) {
		ModelledRequest request = this.requests.get(placement.requestId());
		if (request != null) {
			request.prefillEngineId = placement.prefillEngineId();
			request.decodeEngineId = placement.decodeEngineId();
			this.pool.start(request, this.nowNanos);
		}
	}

	private void ended(ModelledRequest request) {
		long served = request.finished ? request.request.promptTokens() + request.tokens : 0;
		later(delay() + MESSAGE_NANOS, () -> policy(request).release(request.request.requestId(), request.grantId,
				new PlacementRelease(served, ""), this.nowNanos));
	}

	private PolicyResult result(double capacityCost, CostModel costs) {
		long good = 0;
		long wastedTokens = 0;
		Map<String, Double> demand = new TreeMap<>();
		Map<String, Double> served = new TreeMap<>();
		long firstTarget = SchedulerOptions.DEFAULT.firstTokenNanos();
		long settledNanos = this.durationNanos - 20_000 * MILLIS;
		for (ModelledRequest request : this.arrivals) {
			double cost = costs.cost(request.request.promptTokens(), request.outputTokens);
			if (request.arrivedNanos < settledNanos && isPossible(request)) {
				demand.merge(request.request.teamId(), cost, Double::sum);
			}
			if (request.isGood(firstTarget)) {
				good++;
				if (request.arrivedNanos < settledNanos) {
					served.merge(request.request.teamId(), cost, Double::sum);
				}
			}
			if (request.prefilled && !request.finished && request.prefillEndNanos < settledNanos) {
				wastedTokens += request.request.promptTokens();
			}
		}
		Map<String, Double> fair = fairShares(demand, capacityCost * settledNanos);
		double worst = fair.entrySet()
			.stream()
			.mapToDouble((entry) -> served.getOrDefault(entry.getKey(), 0.0) / entry.getValue())
			.min()
			.orElse(0);
		return new PolicyResult(good * 1e9 / this.durationNanos,
				(double) wastedTokens / Math.max(1, this.pool.prefilledTokens), worst);
	}

	/**
	 * Returns whether an idle pool could meet the first-token target. Other requests are
	 * no part of a team's fair share, because no policy can serve them in time.
	 * @param request the request
	 * @return whether it is possible
	 */
	private boolean isPossible(ModelledRequest request) {
		SchedulerOptions options = SchedulerOptions.DEFAULT;
		int prompt = request.request.promptTokens();
		double nanos = options.prefillOverheadNanos() + options.transferSetupNanos()
				+ prompt * 1e9 / this.engines.get(0).prefillTokensPerSecond()
				+ prompt * 1e9 / options.transferTokensPerSecond() + options.firstDecodeNanos();
		return !request.isInteractive() || nanos <= options.firstTokenNanos();
	}

	/**
	 * Divides the capacity by max-min fairness with equal weights.
	 * @param demand the demand of each team
	 * @param capacity the capacity
	 * @return the share of each team
	 */
	static Map<String, Double> fairShares(Map<String, Double> demand, double capacity) {
		Map<String, Double> shares = new TreeMap<>();
		List<Map.Entry<String, Double>> ascending = new ArrayList<>(demand.entrySet());
		ascending.sort(Map.Entry.comparingByValue());
		double left = capacity;
		for (int i = 0; i < ascending.size(); i++) {
			double share = Math.min(ascending.get(i).getValue(), left / (ascending.size() - i));
			shares.put(ascending.get(i).getKey(), share);
			left -= share;
		}
		return shares;
	}

	private record Delayed(long nanos, long sequence, Runnable action) {

	}

}
