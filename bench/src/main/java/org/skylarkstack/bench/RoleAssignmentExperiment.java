package org.skylarkstack.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

import org.skylarkstack.lease.EngineAssignment;
import org.skylarkstack.lease.PoolProfile;

/**
 * Compares strategies that assign engines to models under drifting demand. The goodput of
 * a pool is its demand, limited by the capacity of the best split of its engines into
 * prefill and decode. A pool with one engine cannot separate prefill from decode and
 * reaches a third of an engine's capacity. Profiles have a measurement error of 10 %. An
 * engine that moves to another pool serves no requests for a quarter of an epoch.
 */
public final class RoleAssignmentExperiment {

	private static final int ENGINES = 24;

	private static final int MODELS = 4;

	private static final int EPOCHS = 500;

	private static final double MOVE_EPOCH_SHARE = 0.25;

	private static final double PROFILE_ERROR = 0.1;

	private RoleAssignmentExperiment() {
	}

	/**
	 * Runs the experiment and prints one line for each strategy.
	 * @param arguments ignored
	 */
	public static void main(String[] arguments) {
		for (EngineAssignment assignment : EngineAssignment.values()) {
			double goodput = 0;
			double moves = 0;
			for (long seed = 1; seed <= 5; seed++) {
				double[] result = run(assignment, new SplittableRandom(seed));
				goodput += result[0] / 5;
				moves += result[1] / 5;
			}
			System.out.printf("seeds 1-5  %-13s goodput %.3f of demand  moves %.2f engines an epoch%n", assignment,
					goodput, moves);
		}
	}

	private static double[] run(EngineAssignment assignment, RandomGenerator random) {
		double[] demand = new double[MODELS];
		double[] prefillShare = new double[MODELS];
		List<Integer> counts = new ArrayList<>();
		for (int model = 0; model < MODELS; model++) {
			demand[model] = 2 + random.nextDouble() * 6;
			prefillShare[model] = 0.2 + random.nextDouble() * 0.4;
			counts.add(ENGINES / MODELS);
		}
		double served = 0;
		double offered = 0;
		double moved = 0;
		for (int epoch = 0; epoch < EPOCHS; epoch++) {
			List<PoolProfile> profiles = new ArrayList<>();
			for (int model = 0; model < MODELS; model++) {
				demand[model] = Math.max(0.5, Math.min(14, demand[model] * Math.exp(random.nextGaussian() * 0.1)));
				double error = 1 + random.nextGaussian() * PROFILE_ERROR;
				List<Double> goodput = new ArrayList<>();
				for (int engines = 0; engines <= ENGINES; engines++) {
					goodput.add(goodput(demand[model] * error, prefillShare[model], engines));
				}
				profiles.add(new PoolProfile("m" + model, demand[model] * error, goodput));
			}
			List<Integer> next = assignment.assign(profiles, counts);
			for (int model = 0; model < MODELS; model++) {
				int added = Math.max(0, next.get(model) - counts.get(model));
				double afterMove = goodput(demand[model], prefillShare[model], next.get(model));
				double duringMove = goodput(demand[model], prefillShare[model], next.get(model) - added);
				served += afterMove * (1 - MOVE_EPOCH_SHARE) + duringMove * MOVE_EPOCH_SHARE;
				offered += demand[model];
				moved += added;
			}
			counts = next;
		}
		return new double[] { served / offered, moved / EPOCHS };
	}

	private static double goodput(double demand, double prefillShare, int engines) {
		double best = (engines > 0) ? 1.0 / 3 : 0;
		for (int prefills = 1; prefills < engines; prefills++) {
			best = Math.max(best, Math.min(prefills / prefillShare, (engines - prefills) / (1 - prefillShare)));
		}
		return Math.min(demand, best);
	}

}
