package org.skylarkstack.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.ToDoubleFunction;

/**
 * Generates open-loop arrivals by a Poisson process whose rate alternates between a low
 * phase and a burst phase. The same seed gives the same arrivals.
 */
public final class ArrivalPlan {

	private static final double NANOS_PER_SECOND = 1e9;

	/** Mean duration of a low phase or burst phase in seconds. */
	private static final double MEAN_PHASE_SECONDS = 1.5;

	/** Relative increase of the rate in a burst phase, and decrease in a low phase. */
	private static final double BURST_RATE_CHANGE = 0.5;

	private static final double LENGTH_SIGMA = 0.5;

	private static final int MAX_LENGTH_FACTOR = 4;

	private static final int SHARED_CONTEXTS = 8;

	private final BenchProfile profile;

	private final Random random;

	/**
	 * Creates a plan.
	 * @param profile the deployment with its load
	 * @param seed the seed of the random numbers
	 */
	public ArrivalPlan(BenchProfile profile, long seed) {
		this.profile = profile;
		this.random = new Random(seed);
	}

	/**
	 * Generates the arrivals of a run.
	 * @param requestsPerSecond the mean rate if no team exceeds its usual rate
	 * @param durationSeconds the duration of the run in seconds
	 * @param noisyTeam the team that exceeds its usual rate, or an empty string
	 * @param noisyFactor the factor by which that team exceeds its usual rate
	 * @return the arrivals in order of time
	 */
	public List<Arrival> plan(double requestsPerSecond, double durationSeconds, String noisyTeam, double noisyFactor) {
		ToDoubleFunction<TeamShare> share = (team) -> team.share() * (team.id().equals(noisyTeam) ? noisyFactor : 1);
		double total = this.profile.teams().stream().mapToDouble(share).sum();
		List<Arrival> arrivals = new ArrayList<>();
		double timeSeconds = 0;
		double phaseEndSeconds = 0;
		boolean burst = false;
		while (true) {
			if (timeSeconds >= phaseEndSeconds) {
				burst = !burst;
				phaseEndSeconds = timeSeconds + randomExponential(MEAN_PHASE_SECONDS);
			}
			double rate = requestsPerSecond * total * (burst ? 1 + BURST_RATE_CHANGE : 1 - BURST_RATE_CHANGE);
			timeSeconds += randomExponential(1 / rate);
			if (timeSeconds >= durationSeconds) {
				return arrivals;
			}
			arrivals.add(arrival(arrivals.size(), timeSeconds, pickWeighted(this.profile.teams(), share)));
		}
	}

	private Arrival arrival(int number, double timeSeconds, TeamShare team) {
		RequestKind kind = pickWeighted(this.profile.kinds(), RequestKind::share);
		int prompt = Math.max(kind.sharedTokens() + 16, randomLength(kind.promptTokens()));
		int output = Math.min(Math.max(1, randomLength(kind.outputTokens())), Math.max(1, kind.outputBound()));
		return new Arrival(number, (long) (timeSeconds * NANOS_PER_SECOND), team, kind, prompt, output,
				this.random.nextInt(SHARED_CONTEXTS));
	}

	private int randomLength(int median) {
		double factor = Math.exp(this.random.nextGaussian() * LENGTH_SIGMA);
		return (int) (median * Math.min(MAX_LENGTH_FACTOR, Math.max(1.0 / MAX_LENGTH_FACTOR, factor)));
	}

	private double randomExponential(double mean) {
		return -mean * Math.log(1 - this.random.nextDouble());
	}

	private <T> T pickWeighted(List<T> choices, ToDoubleFunction<T> share) {
		double remaining = this.random.nextDouble() * choices.stream().mapToDouble(share).sum();
		for (T choice : choices) {
			remaining -= share.applyAsDouble(choice);
			if (remaining < 0) {
				return choice;
			}
		}
		return choices.get(choices.size() - 1);
	}

}
