package org.skylarkstack.gateway;

import java.util.List;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.peers.PeerUsage;

/**
 * Chooses the prefill engine of a request: from a sample of engines, the one with the
 * fewest waiting and running prompt tokens in proportion to its memory, with a small
 * preference for one data centre and a penalty for recent failures.
 *
 * <p>
 * Load is counted in tokens rather than requests because prompts differ widely in length:
 * the tokens determine how long an engine is busy.
 */
public final class PrefillEngineChooser {

	private static final double AVOID_PENALTY = 1_000;

	private static final double JITTER = 0.01;

	private static final double SMOOTHING = 0.2;

	private final PeerUsage peers;

	private final RandomGenerator random;

	private final EngineSampler sampler;

	private double prefillTokensPerMilli;

	/**
	 * Creates a chooser without an estimate of the prefill speed.
	 * @param peers the engine usage that peers report
	 * @param random the random number generator that draws samples and breaks ties
	 */
	public PrefillEngineChooser(PeerUsage peers, RandomGenerator random) {
		this.peers = peers;
		this.random = random;
		this.sampler = new EngineSampler(peers, random);
	}

	/**
	 * Updates the estimated prefill speed from a prompt that an otherwise idle engine has
	 * processed.
	 * @param tokens the tokens of the prompt
	 * @param millis the processing time in milliseconds
	 * @param pace the multiple of the usual time that work takes at the engine
	 */
	public void recordPrefill(long tokens, long millis, double pace) {
		double latest = pace * tokens / Math.max(1, millis);
		this.prefillTokensPerMilli = (this.prefillTokensPerMilli == 0) ? latest
				: this.prefillTokensPerMilli + SMOOTHING * (latest - this.prefillTokensPerMilli);
	}

	/**
	 * Returns the tokens of the prompts that wait or run at an engine.
	 * @param candidate the prefill engine
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the tokens, including those of requests that peers report
	 */
	public long backlogTokens(BackendState candidate, long nowNanos) {
		return EngineOccupancy.tokens(candidate, this.peers, nowNanos);
	}

	/**
	 * Estimates how long a prompt waits at an engine before it is processed.
	 * @param candidate the prefill engine
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the time in milliseconds; 0 while there is no estimate of the prefill speed
	 */
	public long waitMillis(BackendState candidate, long nowNanos) {
		return (this.prefillTokensPerMilli == 0) ? 0 : (long) (candidate.pace().expected(nowNanos)
				* backlogTokens(candidate, nowNanos) / this.prefillTokensPerMilli);
	}

	/**
	 * Chooses an engine.
	 * @param candidates the engines to choose from
	 * @param profile the common profile of the engines
	 * @param tokens the prompt tokens of the request
	 * @param dataCentre the data centre whose engines are preferred
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the engine, or {@code null} if there is none
	 */
	public @Nullable BackendState choose(List<BackendState> candidates, EngineProfile profile, long tokens,
			String dataCentre, long nowNanos) {
		Predicate<BackendState> healthy = (candidate) -> !candidate.isAvoided(nowNanos) && !candidate.isCold(nowNanos);
		ToDoubleFunction<BackendState> cost = (candidate) -> occupancy(candidate, profile, tokens, nowNanos)
				+ candidate.coldCost(nowNanos) + (candidate.isAvoided(nowNanos) ? AVOID_PENALTY : 0)
				+ JITTER * this.random.nextDouble();
		return candidates.stream().anyMatch((candidate) -> candidate.pace().isStated(nowNanos))
				? this.sampler.cheapestAnywhere(candidates, dataCentre, healthy, cost)
				: this.sampler.cheapest(candidates, dataCentre, healthy, cost);
	}

	// The time until the prompt is processed, as a multiple of the time that an engine of
	// usual speed needs for a prompt as large as its memory.
	private double occupancy(BackendState candidate, EngineProfile profile, long tokens, long nowNanos) {
		return candidate.pace().expected(nowNanos) * (backlogTokens(candidate, nowNanos) + tokens)
				/ Math.max(1, profile.kvTokens());
	}

}
