package org.skylarkstack.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.random.RandomGenerator;

import org.skylarkstack.configuration.EngineNode;
import org.skylarkstack.configuration.EngineRole;
import org.skylarkstack.kernel.PluginRegistry;
import org.skylarkstack.schedule.PlacementPolicy;
import org.skylarkstack.schedule.PlacementRequest;
import org.skylarkstack.schedule.RequestClass;

/**
 * Compares the placement policies on an analytical engine model with seeded bursty
 * arrivals at 1.3 times capacity. It runs the pure policies only: no sockets, no threads.
 *
 * <p>
 * Each deployment has two pools, summaries and application. Five teams of equal weight
 * send in bursts; the first sends five times the rate of the others. Capacity is the
 * smaller of the prefill and decode rates for the mean request.
 */
public final class PolicyExperiment {

	private static final long MILLIS = 1_000_000L;

	private static final long DURATION_NANOS = 120_000 * MILLIS;

	private static final double LOAD = 1.3;

	private static final int VMS = 7;

	private static final int TEAMS = 5;

	private static final int FLOOD_FACTOR = 5;

	private static final int DECODE_SLOTS = 20;

	private static final int MEMORY_PIECES = 44;

	private static final int PREFILL_TOKENS_PER_SECOND = 16_000;

	private static final double STEP_MILLIS = 48;

	private static final double PREFILL_OVERHEAD_MILLIS = 8;

	private static final String OURS = "fair-queue";

	private static final String ORACLE = "oracle";

	private PolicyExperiment() {
	}

	/**
	 * Runs the experiment and prints one line for each pool and policy.
	 * @param arguments the seeds, 1 to 3 if there are none, and the policies, all if
	 * there are none
	 */
	public static void main(String[] arguments) {
		List<Long> seeds = new ArrayList<>();
		Set<String> policies = new TreeSet<>();
		for (String argument : arguments) {
			if (argument.matches("\\d+")) {
				seeds.add(Long.parseLong(argument));
			}
			else {
				policies.add(argument);
			}
		}
		if (seeds.isEmpty()) {
			seeds.addAll(List.of(1L, 2L, 3L));
		}
		System.out.printf("seeds %s, %d s each, %.1f times capacity, means over seeds%n", seeds,
				DURATION_NANOS / 1_000_000_000L, LOAD);
		runPool("meals-8 summary 3+5", 3, 5, Workload.SUMMARY, seeds, policies);
		runPool("meals-3 application 1+2", 1, 2, Workload.APPLICATION, seeds, policies);
		runPool("pumps-6 summary 2+4", 2, 4, Workload.SUMMARY, seeds, policies);
		runPool("pumps-4 application 2+2", 2, 2, Workload.APPLICATION, seeds, policies);
	}

	private static void runPool(String name, int prefills, int decodes, Workload workload, List<Long> seeds,
			Set<String> policies) {
		PluginRegistry registry = PluginRegistry.load();
		Map<String, PolicyResult> results = new LinkedHashMap<>();
		for (String policy : policies.isEmpty() ? registry.names(PlacementPolicy.class) : policies) {
			List<PolicyResult> runs = new ArrayList<>();
			for (long seed : seeds) {
				runs.add(run(registry, policy, prefills, decodes, workload, seed));
			}
			results.put(policy, mean(runs));
		}
		PolicyResult ours = results.getOrDefault(OURS, new PolicyResult(0, 0, 0));
		double oracle = results.getOrDefault(ORACLE, ours).goodPerSecond();
		double baseline = results.entrySet()
			.stream()
			.filter((entry) -> !entry.getKey().equals(OURS) && !entry.getKey().equals(ORACLE))
			.mapToDouble((entry) -> entry.getValue().goodPerSecond())
			.max()
			.orElse(1);
		results.forEach((policy, result) -> System.out.printf(
				"%-24s %-15s goodput %6.2f/s  wasted prefill %6.2f %%  worst team %5.3f of fair%n", name, policy,
				result.goodPerSecond(), result.wastedPrefill() * 100, result.worstShare()));
		System.out.printf("%-24s ours: %.3f of the oracle, %.2f times the best baseline%n", name,
				ours.goodPerSecond() / oracle, ours.goodPerSecond() / baseline);
	}

	private static PolicyResult mean(List<PolicyResult> runs) {
		return new PolicyResult(runs.stream().mapToDouble(PolicyResult::goodPerSecond).average().orElse(0),
				runs.stream().mapToDouble(PolicyResult::wastedPrefill).average().orElse(0),
				runs.stream().mapToDouble(PolicyResult::worstShare).average().orElse(0));
	}

	private static PolicyResult run(PluginRegistry registry, String policy, int prefills, int decodes,
			Workload workload, long seed) {
		List<EngineNode> engines = engines(prefills, decodes);
		double prefillRate = prefills * 1_000.0
				/ (PREFILL_OVERHEAD_MILLIS + workload.meanPrompt() * 1_000.0 / PREFILL_TOKENS_PER_SECOND);
		double decodeRate = decodes * DECODE_SLOTS * 1_000.0 / (STEP_MILLIS * workload.meanOutput());
		double capacity = Math.min(prefillRate, decodeRate);
		CostModel costs = new CostModel(1_000.0 / PREFILL_TOKENS_PER_SECOND, STEP_MILLIS / DECODE_SLOTS);
		double costRate = capacity * costs.cost(workload.meanPrompt(), workload.meanOutput()) / 1e9;
		List<ModelledRequest> arrivals = arrivals(workload, capacity * LOAD, new SplittableRandom(seed));
		return new PolicyRun(engines, arrivals, VMS, DURATION_NANOS, seed,
				() -> registry.create(PlacementPolicy.class, policy))
			.run(costRate, costs);
	}

	private static List<EngineNode> engines(int prefills, int decodes) {
		List<EngineNode> engines = new ArrayList<>();
		for (int i = 0; i < prefills + decodes; i++) {
			EngineRole role = (i < prefills) ? EngineRole.PREFILL : EngineRole.DECODE;
			engines.add(new EngineNode("e" + i, "http://e" + i, "dc" + i % 4, "m", role, DECODE_SLOTS, MEMORY_PIECES,
					PREFILL_TOKENS_PER_SECOND, true, false));
		}
		return engines;
	}

	private static List<ModelledRequest> arrivals(Workload workload, double perSecond, RandomGenerator random) {
		List<ModelledRequest> all = new ArrayList<>();
		for (int team = 0; team < TEAMS; team++) {
			int share = (team == 0) ? FLOOD_FACTOR : 1;
			double teamRate = perSecond * share / (FLOOD_FACTOR + TEAMS - 1);
			teamArrivals(all, workload, "team" + team, teamRate, random);
		}
		all.sort(Comparator.comparingLong((ModelledRequest request) -> request.arrivedNanos));
		return all;
	}

	/**
	 * Adds arrivals that alternate between 1.5 and 0.5 times the team's rate, in phases
	 * of 2 s on average.
	 * @param all receives the arrivals
	 * @param workload the kind of pool
	 * @param team the team
	 * @param rate the mean rate in requests a second
	 * @param random the source of randomness
	 */
	private static void teamArrivals(List<ModelledRequest> all, Workload workload, String team, double rate,
			RandomGenerator random) {
		double now = 0;
		double phaseEnd = 0;
		boolean burst = random.nextBoolean();
		while (now < DURATION_NANOS) {
			double factor = burst ? 1.5 : 0.5;
			now += random.nextExponential() * 1e9 / (rate * factor);
			if (now > phaseEnd) {
				burst = !burst;
				phaseEnd = now + random.nextExponential() * 2e9;
			}
			all.add(workload.request(team + "-" + all.size(), team, "vm" + random.nextInt(VMS), (long) now, random));
		}
	}

	/**
	 * Mix of requests of one kind of pool.
	 */
	private enum Workload {

		/** Long histories; most of the work may wait. */
		SUMMARY(2_400, 110, 0.4, 60_000 * MILLIS),

		/** Lookups and status reads; nearly all must answer at once. */
		APPLICATION(1_600, 90, 0.9, 60_000 * MILLIS);

		private static final double PROMPT_SIGMA = 0.7;

		private static final double OUTPUT_SIGMA = 0.6;

		private final int meanPrompt;

		private final int meanOutput;

		private final double interactive;

		private final long batchWaitNanos;

		Workload(int meanPrompt, int meanOutput, double interactive, long batchWaitNanos) {
			this.meanPrompt = meanPrompt;
			this.meanOutput = meanOutput;
			this.interactive = interactive;
			this.batchWaitNanos = batchWaitNanos;
		}

		int meanPrompt() {
			return this.meanPrompt;
		}

		int meanOutput() {
			return this.meanOutput;
		}

		ModelledRequest request(String id, String team, String vmId, long nanos, RandomGenerator random) {
			int prompt = logNormal(this.meanPrompt, PROMPT_SIGMA, 32, 24_000, random);
			int output = logNormal(this.meanOutput, OUTPUT_SIGMA, 4, 512, random);
			RequestClass kind = (random.nextDouble() < this.interactive) ? RequestClass.INTERACTIVE
					: RequestClass.BATCH;
			PlacementRequest request = new PlacementRequest(id, vmId, "m", team, 1, kind, prompt, 512, List.of(),
					(kind == RequestClass.BATCH) ? this.batchWaitNanos : 500 * MILLIS, false);
			return new ModelledRequest(request, vmId, nanos, output);
		}

		private static int logNormal(double mean, double sigma, int low, int high, RandomGenerator random) {
			double value = mean * Math.exp(random.nextGaussian() * sigma - sigma * sigma / 2);
			return (int) Math.max(low, Math.min(high, value));
		}

	}

}
