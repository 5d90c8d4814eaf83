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
 * Chooses the cheapest engine for a request, and decides how many engines that suit it
 * are compared for that.
 *
 * <p>
 * What other daemons hold is known some hundred milliseconds late. A few daemons can all
 * compare every engine. The more daemons place requests meanwhile, the fewer engines each
 * of them compares, drawn anew for each request, as otherwise they would all choose the
 * one that was the emptiest a moment ago.
 *
 * <p>
 * Answers the load pattern of a large fleet in a burst: prompts pile up at one engine and
 * are preempted there while others are idle.
 */
final class EngineSampler {

	// So many daemons may all choose the best of all engines.
	private static final int MAX_DAEMONS_COMPARING_ALL = 8;

	private static final int MIN_SAMPLE_SIZE = 2;

	private static final double REMOTE_PENALTY = 0.02;

	private static final double FAILURE_PENALTY = 1.0;

	private final PeerUsage peers;

	private final RandomGenerator random;

	EngineSampler(PeerUsage peers, RandomGenerator random) {
		this.peers = peers;
		this.random = random;
	}

	/**
	 * Compares a sample of engines.
	 * @param engines the engines
	 * @param dataCentre the preferred data centre
	 * @param countsTowardsSample whether an engine counts as one of the sample
	 * @param cost what speaks against an engine; infinite if it does not suit
	 * @return the cheapest one, or {@code null} if none suits
	 */
	@Nullable BackendState cheapest(List<BackendState> engines, String dataCentre, Predicate<BackendState> countsTowardsSample,
			ToDoubleFunction<BackendState> cost) {
		BackendState best = null;
		double bestCost = Double.POSITIVE_INFINITY;
		int compared = 0;
		int size = sampleSize(engines.size(), this.peers.daemons());
		for (BackendState engine : shuffledLocalFirst(engines, dataCentre, this.random)) {
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

	// A small preference for the data centre, and a penalty for recent failures.
	private static double penalty(BackendState engine, String dataCentre) {
		return FAILURE_PENALTY * engine.failureShare()
				+ (engine.node().dataCentre().equals(dataCentre) ? 0 : REMOTE_PENALTY);
	}

	/**
	 * Returns how many engines to compare.
	 * @param engines the number of engines
	 * @param daemons the number of daemons
	 * @return the number, at least 2
	 */
	static int sampleSize(int engines, int daemons) {
		int share = (int) Math.ceil((double) engines * MAX_DAEMONS_COMPARING_ALL / Math.max(1, daemons));
		return Math.max(MIN_SAMPLE_SIZE, share);
	}

	/**
	 * Returns the engines in the order in which they are compared: those of one data
	 * centre first, because its daemons hear of each other's requests soonest, each part
	 * in random order.
	 * @param engines the engines
	 * @param dataCentre the data centre
	 * @param random the source of randomness
	 * @return a list of the same engines
	 */
	static List<BackendState> shuffledLocalFirst(List<BackendState> engines, String dataCentre,
			RandomGenerator random) {
		List<BackendState> order = new ArrayList<>(engines);
		for (int unshuffled = order.size(); unshuffled > 1; unshuffled--) {
			Collections.swap(order, unshuffled - 1, random.nextInt(unshuffled));
		}
		order.sort(Comparator.comparing((engine) -> !engine.node().dataCentre().equals(dataCentre)));
		return order;
	}

}
