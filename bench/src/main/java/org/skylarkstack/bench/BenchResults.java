package org.skylarkstack.bench;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Results of an experiment.
 *
 * @param deployment the name of the profile
 * @param seed the seed
 * @param seconds the duration of a run in seconds
 * @param capacity the measured capacity in requests per second
 * @param capacityPolicy the policy with which the capacity was measured
 * @param runs the runs
 * @param direct the comparison with engines called directly, or {@code null} if it was
 * not requested
 */
public record BenchResults(String deployment, long seed, double seconds, double capacity, String capacityPolicy,
		List<RunResult> runs, @Nullable DirectFigures direct) {

	/** Copies the list. */
	public BenchResults {
		runs = List.copyOf(runs);
	}

}
