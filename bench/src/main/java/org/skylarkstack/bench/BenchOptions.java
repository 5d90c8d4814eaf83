package org.skylarkstack.bench;

import java.nio.file.Path;
import java.util.List;

/**
 * Options of an experiment.
 *
 * @param deployment the name of the profile
 * @param policies the placement policies to compare, all run with the same arrivals
 * @param loads the loads as factors of the measured capacity
 * @param repeats the number of runs for each policy and load
 * @param seconds the duration of a run in seconds
 * @param seed the seed
 * @param faults the fault schedule of each run
 * @param noisyTeam the team that sends at five times its limit, or an empty string
 * @param direct whether the router is compared with engines called directly
 * @param openStreams the number of open streams for which memory is measured, or 0 to
 * skip the measurement
 * @param output the directory for the results
 */
public record BenchOptions(String deployment, List<String> policies, List<Double> loads, int repeats, double seconds,
		long seed, List<FaultStep> faults, String noisyTeam, boolean direct, int openStreams, Path output) {

	/** Copies the lists. */
	public BenchOptions {
		policies = List.copyOf(policies);
		loads = List.copyOf(loads);
		faults = List.copyOf(faults);
	}

}
