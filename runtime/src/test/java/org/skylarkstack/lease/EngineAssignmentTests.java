package org.skylarkstack.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Tests of {@link EngineAssignment}.
 */
class EngineAssignmentTests {

	/**
	 * Guards against policies that change the total number of engines, a knapsack below
	 * the optimum of an exhaustive search, and a result that stays below the optimum by
	 * more than the hysteresis.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void keepsTotalAndFindsOptimum(long seed) {
		Random random = new Random(seed);
		for (int round = 0; round < 50; round++) {
			List<PoolProfile> pools = new ArrayList<>();
			for (int pool = 0; pool < 3; pool++) {
				List<Double> goodput = random.doubles(9).boxed().toList();
				pools.add(new PoolProfile("m" + pool, random.nextDouble(), goodput));
			}
			List<Integer> present = List.of(3, 3, 2);
			double optimum = 0;
			for (int first = 0; first <= 8; first++) {
				for (int second = 0; second <= 8 - first; second++) {
					optimum = Math.max(optimum,
							AssignmentSolver.goodput(pools, List.of(first, second, 8 - first - second)));
				}
			}
			for (EngineAssignment assignment : EngineAssignment.values()) {
				List<Integer> counts = assignment.assign(pools, present);
				assertWithMessage("seed %s: engines of %s", seed, assignment)
					.that(counts.stream().mapToInt(Integer::intValue).sum())
					.isEqualTo(8);
			}
			double found = AssignmentSolver.goodput(pools, AssignmentSolver.knapsack(pools, 8));
			assertWithMessage("seed %s: optimum", seed).that(found).isWithin(1e-9).of(optimum);
			double chosen = AssignmentSolver.goodput(pools, EngineAssignment.BENEFIT.assign(pools, present));
			assertWithMessage("seed %s: hysteresis", seed).that(chosen * 1.05).isAtLeast(optimum - 1e-9);
		}
	}

}
