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
		public List<Integer> assign(List<PoolProfile> pools, List<Integer> current) {
			return List.copyOf(current);
		}
	},

	/**
	 * Divides the engines in proportion to the demand, rounded by the largest remainder
	 * method.
	 */
	PROPORTIONAL {
		@Override
		public List<Integer> assign(List<PoolProfile> pools, List<Integer> current) {
			return AssignmentSolver.proportional(pools, total(current));
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
		public List<Integer> assign(List<PoolProfile> pools, List<Integer> current) {
			List<Integer> best = AssignmentSolver.knapsack(pools, total(current));
			double now = AssignmentSolver.goodput(pools, current);
			return (AssignmentSolver.goodput(pools, best) > now * (1 + HYSTERESIS)) ? best : List.copyOf(current);
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
	 * @param current the current number of engines of each pool
	 * @return the new number of engines of each pool, with the same sum
	 */
	public abstract List<Integer> assign(List<PoolProfile> pools, List<Integer> current);

	private static int total(List<Integer> counts) {
		return counts.stream().mapToInt(Integer::intValue).sum();
	}

}
