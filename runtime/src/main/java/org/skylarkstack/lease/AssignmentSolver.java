package org.skylarkstack.lease;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Algorithms of the {@link EngineAssignment} policies.
 */
final class AssignmentSolver {

	private AssignmentSolver() {
	}

	static double goodput(List<PoolProfile> pools, List<Integer> counts) {
		return IntStream.range(0, pools.size())
			.mapToDouble((pool) -> pools.get(pool).goodputOf(counts.get(pool)))
			.sum();
	}

	static List<Integer> proportional(List<PoolProfile> pools, int engines) {
		double demand = Math.max(1e-9, pools.stream().mapToDouble(PoolProfile::demand).sum());
		List<Double> exact = pools.stream().map((pool) -> pool.demand() * engines / demand).toList();
		List<Integer> counts = new ArrayList<>(exact.stream().map(Double::intValue).toList());
		List<Integer> byRemainder = IntStream.range(0, pools.size())
			.boxed()
			.sorted(Comparator.comparingDouble((Integer pool) -> counts.get(pool) - exact.get(pool)))
			.toList();
		int left = engines - counts.stream().mapToInt(Integer::intValue).sum();
		for (int i = 0; i < left; i++) {
			int pool = byRemainder.get(i % pools.size());
			counts.set(pool, counts.get(pool) + 1);
		}
		return counts;
	}

	/**
	 * Maximises the total goodput as a multiple-choice knapsack, in pools x engines^2
	 * steps.
	 * @param pools the profiles of the pools
	 * @param engines the number of engines to divide
	 * @return the number of engines of each pool
	 */
	static List<Integer> knapsack(List<PoolProfile> pools, int engines) {
		int[][] choice = new int[pools.size()][engines + 1];
		double[] best = new double[engines + 1];
		for (int pool = 0; pool < pools.size(); pool++) {
			double[] next = new double[engines + 1];
			for (int used = 0; used <= engines; used++) {
				next[used] = Double.NEGATIVE_INFINITY;
				for (int own = (pool == 0) ? used : 0; own <= used; own++) {
					double value = best[used - own] + pools.get(pool).goodputOf(own);
					if (value > next[used]) {
						next[used] = value;
						choice[pool][used] = own;
					}
				}
			}
			best = next;
		}
		Integer[] counts = new Integer[pools.size()];
		int left = engines;
		for (int pool = pools.size() - 1; pool >= 0; pool--) {
			counts[pool] = choice[pool][left];
			left -= counts[pool];
		}
		return List.of(counts);
	}

}
