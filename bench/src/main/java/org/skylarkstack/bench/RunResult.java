package org.skylarkstack.bench;

/**
 * One run and its figures.
 *
 * @param policy the placement policy
 * @param load the load as a factor of the measured capacity
 * @param requestsPerSecond the mean arrival rate without the noisy team's excess
 * @param repeat the number of the repetition, from 1
 * @param seed the seed of the arrivals
 * @param figures the figures
 */
public record RunResult(String policy, double load, double requestsPerSecond, int repeat, long seed,
		RunFigures figures) {

}
