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
 * arrivals at 1.3 times capacity. It calls the policies directly, without sockets or
 * threads.
 *
 * <p>
 * Each deployment has one pool for summaries and one for application requests. Five teams
 * of equal weight send in bursts; the first sends at five times the rate of the others.
 * Capacity is the smaller of the prefill and decode throughputs for the mean request.
 */
public final class PolicyExperiment {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private static final long DURATION_NANOS = 120_000 * NANOS_PER_MILLI;

	private static final double LOAD_FACTOR = 1.3;

	private static final int VM_COUNT = 7;

	private static final int TEAM_COUNT = 5;

	private static final int NOISY_TEAM_FACTOR = 5;

	private static final int DECODE_SLOTS = 20;

	private static final int MEMORY_PIECES = 44;

	private static final int PREFILL_TOKENS_PER_SECOND = 16_000;

	private static final double STEP_MILLIS = 48;

	private static final double PREFILL_OVERHEAD_MILLIS = 8;

	private static final String EVALUATED_POLICY = "fair-queue";

	private static final String ORACLE = "oracle";

	private PolicyExperiment() {
	}

	/**
	 * Runs the experiment and prints one line for each pool and policy.
	 * @param arguments the seeds (default 1 to 3) and the names of the policies (default
	 * all) in any order
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
				DURATION_NANOS / 1_000_000_000L, LOAD_FACTOR);
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
		PolicyResult evaluated = results.getOrDefault(EVALUATED_POLICY, new PolicyResult(0, 0, 0));
		double oracle = results.getOrDefault(ORACLE, evaluated).goodputPerSecond();
		double baseline = results.entrySet()
			.stream()
			.filter((entry) -> !entry.getKey().equals(EVALUATED_POLICY) && !entry.getKey().equals(ORACLE))
			.mapToDouble((entry) -> entry.getValue().goodputPerSecond())
			.max()
			.orElse(1);
		results.forEach((policy, result) -> System.out.printf(
				"%-24s %-15s goodput %6.2f/s  wasted prefill %6.2f %%  worst team %5.3f of fair%n", name, policy,
				result.goodputPerSecond(), result.wastedPrefillShare() * 100, result.worstServiceRatio()));
		System.out.printf("%-24s ours: %.3f of the oracle, %.2f times the best baseline%n", name,
				evaluated.goodputPerSecond() / oracle, evaluated.goodputPerSecond() / baseline);
	}

	private static PolicyResult mean(List<PolicyResult> runs) {
		return new PolicyResult(runs.stream().mapToDouble(PolicyResult::goodputPerSecond).average().orElse(0),
				runs.stream().mapToDouble(PolicyResult::wastedPrefillShare).average().orElse(0),
				runs.stream().mapToDouble(PolicyResult::worstServiceRatio).average().orElse(0));
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
		List<ModelledRequest> arrivals = allArrivals(workload, capacity * LOAD_FACTOR, new SplittableRandom(seed));
		return new PolicyRun(engines, arrivals, VM_COUNT, DURATION_NANOS, seed,
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

	private static List<ModelledRequest> allArrivals(Workload workload, double perSecond, RandomGenerator random) {
		List<ModelledRequest> arrivals = new ArrayList<>();
		for (int team = 0; team < TEAM_COUNT; team++) {
			int share = (team == 0) ? NOISY_TEAM_FACTOR : 1;
			double teamRate = perSecond * share / (NOISY_TEAM_FACTOR + TEAM_COUNT - 1);
			addTeamArrivals(arrivals, workload, "team" + team, teamRate, random);
		}
		arrivals.sort(Comparator.comparingLong((ModelledRequest request) -> request.arrivalNanos));
		return arrivals;
	}

	/**
	 * Adds Poisson arrivals whose rate alternates between 1.5 and 0.5 times the team's
	 * mean rate, in phases of 2 s on average.
	 * @param arrivals the list to which the arrivals are added
	 * @param workload the mix of requests
	 * @param team the team
	 * @param rate the mean rate in requests per second
	 * @param random the random number generator
	 */
	private static void addTeamArrivals(List<ModelledRequest> arrivals, Workload workload, String team, double rate,
			RandomGenerator random) {
		double nowNanos = 0;
		double phaseEndNanos = 0;
		boolean burst = random.nextBoolean();
		while (nowNanos < DURATION_NANOS) {
			double factor = burst ? 1.5 : 0.5;
			nowNanos += random.nextExponential() * 1e9 / (rate * factor);
			if (nowNanos > phaseEndNanos) {
				burst = !burst;
				phaseEndNanos = nowNanos + random.nextExponential() * 2e9;
			}
			arrivals.add(workload.request(team + "-" + arrivals.size(), team, "vm" + random.nextInt(VM_COUNT),
					(long) nowNanos, random));
		}
	}

	/**
	 * Mix of requests of one kind of pool.
	 */
	private enum Workload {

		/**
		 * Summaries of long histories; 40 % are interactive, the others batch requests.
		 */
		SUMMARY(2_400, 110, 0.4, 60_000 * NANOS_PER_MILLI),

		/** Lookups and status reads; 90 % are interactive. */
		APPLICATION(1_600, 90, 0.9, 60_000 * NANOS_PER_MILLI);

		private static final double PROMPT_SIGMA = 0.7;

		private static final double OUTPUT_SIGMA = 0.6;

		private final int meanPrompt;

		private final int meanOutput;

		private final double interactiveShare;

		private final long batchWaitNanos;

		Workload(int meanPrompt, int meanOutput, double interactiveShare, long batchWaitNanos) {
			this.meanPrompt = meanPrompt;
			this.meanOutput = meanOutput;
			this.interactiveShare = interactiveShare;
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
			RequestClass requestClass = (random.nextDouble() < this.interactiveShare) ? RequestClass.INTERACTIVE
					: RequestClass.BATCH;
			PlacementRequest request = new PlacementRequest(id, vmId, "m", team, 1, requestClass, prompt, 512,
					List.of(), (requestClass == RequestClass.BATCH) ? this.batchWaitNanos : 500 * NANOS_PER_MILLI,
					false);
			return new ModelledRequest(request, vmId, nanos, output);
		}

		private static int logNormal(double mean, double sigma, int low, int high, RandomGenerator random) {
			double value = mean * Math.exp(random.nextGaussian() * sigma - sigma * sigma / 2);
			return (int) Math.max(low, Math.min(high, value));
		}

	}

}
