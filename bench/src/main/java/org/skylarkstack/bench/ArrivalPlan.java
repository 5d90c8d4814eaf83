package org.skylarkstack.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.ToDoubleFunction;

/**
 * Plans open-loop arrivals: a Poisson process whose rate alternates between calm and
 * burst. The same seed gives the same arrivals.
 */
public final class ArrivalPlan {

	private static final double NANOS_PER_SECOND = 1e9;

	/** Mean length of a calm or a burst in seconds. */
	private static final double MEAN_PHASE_SECONDS = 1.5;

	/** Change of the rate in a burst, and the other way in a calm. */
	private static final double BURST_RATE_CHANGE = 0.5;

	private static final double LENGTH_SIGMA = 0.5;

	private static final int MAX_LENGTH_FACTOR = 4;

	private static final int SHARED_CONTEXTS = 8;

	private final BenchProfile profile;

	private final Random random;

	/**
	 * Creates a plan.
	 * @param profile the profile
	 * @param seed the seed
	 */
	public ArrivalPlan(BenchProfile profile, long seed) {
		this.profile = profile;
		this.random = new Random(seed);
	}

	/**
	 * Plans the arrivals of a run.
	 * @param requestsPerSecond the mean rate
	 * @param seconds the length of the run
	 * @param noisyTeam the team that sends a multiple of its limit, or an empty string
	 * @param noisyFactor the multiple of its usual rate
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
