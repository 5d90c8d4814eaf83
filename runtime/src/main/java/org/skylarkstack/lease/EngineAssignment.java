package org.skylarkstack.lease;

import java.util.List;

/**
 * Policy that divides engines among the pools of several models. Implementations have no
 * state and no side effects.
 */
public enum EngineAssignment {

	/** Keeps the current number of engines of each pool. */
	STATIC {
		@Override
		public List<Integer> assign(List<PoolProfile> pools, List<Integer> present) {
			return List.copyOf(present);
		}
	},

	/**
	 * Divides the engines in proportion to the demand, rounded by the largest remainder
	 * method.
	 */
	PROPORTIONAL {
		@Override
		public List<Integer> assign(List<PoolProfile> pools, List<Integer> present) {
			return AssignmentSolver.proportional(pools, total(present));
		}
	},

	/**
	 * Maximises the total measured goodput, as a multiple-choice knapsack solved by
	 * dynamic programming: one number of engines is chosen for each pool. Moves engines
	 * only when the gain exceeds {@link #HYSTERESIS}. The idea follows Bez et al.,
	 * "Arbitration Policies for On-Demand User-Level I/O Forwarding on HPC Platforms",
	 * IPDPS 2021.
	 */
	BENEFIT {
		@Override
		public List<Integer> assign(List<PoolProfile> pools, List<Integer> present) {
			List<Integer> best = AssignmentSolver.knapsack(pools, total(present));
			double now = AssignmentSolver.goodput(pools, present);
			return (AssignmentSolver.goodput(pools, best) > now * (1 + HYSTERESIS)) ? best : List.copyOf(present);
		}
	};

	/**
	 * Relative gain in goodput up to which engines are not moved, because an engine is
	 * drained before it moves.
	 */
	public static final double HYSTERESIS = 0.05;

	/**
	 * Policy that reached the highest goodput in the role assignment experiment of the
	 * bench module.
	 */
	public static final EngineAssignment DEFAULT = BENEFIT;

	/**
	 * Divides the engines among the pools.
	 * @param pools the profiles of the pools
	 * @param present the current number of engines of each pool
	 * @return the new number of engines of each pool, with the same sum
	 */
	public abstract List<Integer> assign(List<PoolProfile> pools, List<Integer> present);

	private static int total(List<Integer> counts) {
		return counts.stream().mapToInt(Integer::intValue).sum();
	}

}
