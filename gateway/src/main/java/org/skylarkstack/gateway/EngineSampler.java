package org.skylarkstack.gateway;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.peers.PeerUsage;

/**
 * Chooses the engine with the lowest cost for a request from a random sample of the
 * suitable engines, and determines the size of that sample.
 *
 * <p>
 * Reports of requests that other daemons place arrive some hundred milliseconds late. In
 * a small fleet every daemon can compare all engines. The more daemons place requests in
 * that time, the fewer engines each of them compares, in a sample drawn anew for each
 * request; otherwise all daemons would choose the engine that the latest reports show as
 * the least loaded.
 *
 * <p>
 * The sample guards against bursts in a large fleet: without it, prompts pile up at one
 * engine and are preempted there while other engines are idle.
 */
final class EngineSampler {

	// Up to this many daemons, each daemon compares all engines.
	private static final int MAX_DAEMONS_COMPARING_ALL = 8;

	private static final int MIN_SAMPLE_SIZE = 2;

	// A sample of all engines also contains some that are far away.
	private static final int EXTRA_SAMPLE_SIZE = 1;

	private static final double REMOTE_PENALTY = 0.02;

	private static final double FAILURE_PENALTY = 1.0;

	private final PeerUsage peers;

	private final RandomGenerator random;

	EngineSampler(PeerUsage peers, RandomGenerator random) {
		this.peers = peers;
		this.random = random;
	}

	/**
	 * Returns the engine of a sample with the lowest cost.
	 * @param engines the engines to draw from
	 * @param dataCentre the preferred data centre, whose engines are compared first
	 * @param countsTowardsSample returns whether an engine counts towards the size of the
	 * sample
	 * @param cost the cost of using an engine; infinite if the engine is unsuitable
	 * @return the engine, or {@code null} if no engine is suitable
	 */
	@Nullable BackendState cheapest(List<BackendState> engines, String dataCentre, Predicate<BackendState> countsTowardsSample,
			ToDoubleFunction<BackendState> cost) {
		return cheapest(shuffledLocalFirst(engines, dataCentre, this.random),
				sampleSize(engines.size(), this.peers.registeredDaemons()), dataCentre, countsTowardsSample, cost);
	}

	private static @Nullable BackendState cheapest(List<BackendState> order, int size, String dataCentre,
			Predicate<BackendState> countsTowardsSample, ToDoubleFunction<BackendState> cost) {
		BackendState best = null;
		double bestCost = Double.POSITIVE_INFINITY;
		int compared = 0;
		for (BackendState engine : order) {
			if (compared == size) {
				break;
			}
			double engineCost = cost.applyAsDouble(engine);
			if (engineCost == Double.POSITIVE_INFINITY) {
				continue;
			}
			compared += countsTowardsSample.test(engine) ? 1 : 0;
			engineCost += penalty(engine, dataCentre);
			if (engineCost < bestCost) {
				best = engine;
				bestCost = engineCost;
			}
		}
		return best;
	}

	/**
	 * Returns the cheapest engine of a sample of all engines, wherever they are.
	 *
	 * <p>
	 * Designed for engines of unequal speed. A sample that begins with the engines of the
	 * own data centre leaves the requests of its callers to these: prompts wait a second
	 * at two slow engines there while fast ones of other data centres are idle.
	 * @param engines the engines to draw from
	 * @param dataCentre the data centre that is slightly preferred
	 * @param countsTowardsSample returns whether an engine counts towards the size of the
	 * sample
	 * @param cost the cost of using an engine; infinite if the engine is unsuitable
	 * @return the engine, or {@code null} if no engine is suitable
	 */
	@Nullable BackendState cheapestAnywhere(List<BackendState> engines, String dataCentre,
			Predicate<BackendState> countsTowardsSample, ToDoubleFunction<BackendState> cost) {
		return cheapest(shuffled(engines, this.random),
				EXTRA_SAMPLE_SIZE + sampleSize(engines.size(), this.peers.registeredDaemons()), dataCentre,
				countsTowardsSample, cost);
	}

	// Prefers engines of the data centre slightly and penalizes recent failures.
	private static double penalty(BackendState engine, String dataCentre) {
		return FAILURE_PENALTY * engine.failureShare()
				+ (engine.node().dataCentre().equals(dataCentre) ? 0 : REMOTE_PENALTY);
	}

	/**
	 * Returns the number of engines to compare.
	 * @param engines the number of engines to draw from
	 * @param daemons the number of registered daemons, this one included
	 * @return the number, at least 2
	 */
	static int sampleSize(int engines, int daemons) {
		int share = (int) Math.ceil((double) engines * MAX_DAEMONS_COMPARING_ALL / Math.max(1, daemons));
		return Math.max(MIN_SAMPLE_SIZE, share);
	}

	/**
	 * Returns the engines in the order in which they are compared: those of one data
	 * centre first, because the reports of its daemons arrive soonest, then the others,
	 * both in random order.
	 * @param engines the engines to draw from
	 * @param dataCentre the data centre whose engines come first
	 * @param random the random number generator that shuffles the engines
	 * @return a new list of the same engines
	 */
	static List<BackendState> shuffledLocalFirst(List<BackendState> engines, String dataCentre,
			RandomGenerator random) {
		List<BackendState> order = shuffled(engines, random);
		order.sort(Comparator.comparing((engine) -> !engine.node().dataCentre().equals(dataCentre)));
		return order;
	}

	private static List<BackendState> shuffled(List<BackendState> engines, RandomGenerator random) {
		List<BackendState> order = new ArrayList<>(engines);
		for (int unshuffled = order.size(); unshuffled > 1; unshuffled--) {
			Collections.swap(order, unshuffled - 1, random.nextInt(unshuffled));
		}
		return order;
	}

}
