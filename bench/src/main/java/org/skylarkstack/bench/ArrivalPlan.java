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
	private static final double PHASE_SECONDS = 1.5;

	/** Change of the rate in a burst, and the other way in a calm. */
	private static final double BURST_CHANGE = 0.5;

	private static final double LENGTH_SPREAD = 0.5;

	private static final int LENGTH_LIMIT = 4;

	private static final int CONTEXTS = 8;

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
	 * @param noise the multiple of its usual rate
	 * @return the arrivals in order of time
	 */
	public List<Arrival> plan(double requestsPerSecond, double seconds, String noisyTeam, double noise) {
		ToDoubleFunction<TeamShare> share = (team) -> team.share() * (team.id().equals(noisyTeam) ? noise : 1);
		double total = this.profile.teams().stream().mapToDouble(share).sum();
		List<Arrival> arrivals = new ArrayList<>();
		double time = 0;
		double phaseEnd = 0;
		boolean burst = false;
		while (true) {
			if (time >= phaseEnd) {
				burst = !burst;
				phaseEnd = time + exponential(PHASE_SECONDS);
			}
			double rate = requestsPerSecond * total * (burst ? 1 + BURST_CHANGE : 1 - BURST_CHANGE);
			time += exponential(1 / rate);
			if (time >= seconds) {
				return arrivals;
			}
			arrivals.add(arrival(arrivals.size(), time, pick(this.profile.teams(), share)));
		}
	}

	private Arrival arrival(int number, double time, TeamShare team) {
		RequestKind kind = pick(this.profile.kinds(), RequestKind::share);
		int prompt = Math.max(kind.sharedTokens() + 16, length(kind.promptTokens()));
		int output = Math.min(Math.max(1, length(kind.outputTokens())), Math.max(1, kind.outputBound()));
		return new Arrival(number, (long) (time * NANOS_PER_SECOND), team, kind, prompt, output,
				this.random.nextInt(CONTEXTS));
	}

	private int length(int median) {
		double factor = Math.exp(this.random.nextGaussian() * LENGTH_SPREAD);
		return (int) (median * Math.min(LENGTH_LIMIT, Math.max(1.0 / LENGTH_LIMIT, factor)));
	}

	private double exponential(double mean) {
		return -mean * Math.log(1 - this.random.nextDouble());
	}

	private <T> T pick(List<T> choices, ToDoubleFunction<T> share) {
		double left = this.random.nextDouble() * choices.stream().mapToDouble(share).sum();
		for (T choice : choices) {
			left -= share.applyAsDouble(choice);
			if (left < 0) {
				return choice;
			}
		}
		return choices.get(choices.size() - 1);
	}

}
