package org.skylarkstack.gateway;

import java.util.List;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.peers.PeerUsage;

/**
 * Chooses the prefill engine of a request: of a sample, the one with the least estimated
 * tokens for its memory, with a small preference for a data centre and a penalty for
 * recent failures.
 *
 * <p>
 * Answers the load pattern of prompts of very different lengths: the tokens, not the
 * number of requests, decide how long an engine is busy.
 */
public final class EngineChooser {

	private static final double AVOID_PENALTY = 1_000;

	private static final double JITTER = 0.01;

	private static final double SMOOTHING = 0.2;

	private final PeerUsage peers;

	private final RandomGenerator random;

	private final EngineSampler sampler;

	private double prefillTokensPerMilli;

	/**
	 * Creates a chooser.
	 * @param peers what peers use
	 * @param random the source of randomness
	 */
	public EngineChooser(PeerUsage peers, RandomGenerator random) {
		this.peers = peers;
		this.random = random;
		this.sampler = new EngineSampler(peers, random);
	}

	/**
	 * Learns how fast an engine without other work processes a prompt.
	 * @param tokens the tokens of the prompt
	 * @param millis the time that it took, in milliseconds
	 */
	public void recordPrefill(long tokens, long millis) {
		double latest = (double) tokens / Math.max(1, millis);
		this.prefillTokensPerMilli = (this.prefillTokensPerMilli == 0) ? latest
				: this.prefillTokensPerMilli + SMOOTHING * (latest - this.prefillTokensPerMilli);
	}

	/**
	 * Returns the tokens that wait or are processed at an engine.
	 * @param candidate the engine
	 * @param nowNanos the present time
	 * @return the tokens, by what all daemons report
	 */
	public long backlogTokens(BackendState candidate, long nowNanos) {
		return EngineOccupancy.tokens(candidate, this.peers, nowNanos);
	}

	/**
	 * Estimates how long a prompt waits at an engine before it is processed.
	 * @param candidate the engine
	 * @param nowNanos the present time
	 * @return the time in milliseconds; 0 while the speed is not known
	 */
	public long waitMillis(BackendState candidate, long nowNanos) {
		return (this.prefillTokensPerMilli == 0) ? 0
				: (long) (backlogTokens(candidate, nowNanos) / this.prefillTokensPerMilli);
	}

	/**
	 * Chooses an engine.
	 * @param candidates the engines that may be used
	 * @param profile the profile of the engines
	 * @param tokens the tokens of the request
	 * @param dataCentre the preferred data centre
	 * @param nowNanos the present time
	 * @return the engine, or {@code null} if there is none
	 */
	public @Nullable BackendState choose(List<BackendState> candidates, EngineProfile profile, long tokens,
			String dataCentre, long nowNanos) {
		return this.sampler.cheapest(candidates, dataCentre, (candidate) -> !candidate.avoided(nowNanos),
				(candidate) -> occupancy(candidate, profile, tokens, nowNanos)
						+ (candidate.avoided(nowNanos) ? AVOID_PENALTY : 0) + JITTER * this.random.nextDouble());
	}

	private double occupancy(BackendState candidate, EngineProfile profile, long tokens, long nowNanos) {
		return (double) (backlogTokens(candidate, nowNanos) + tokens) / Math.max(1, profile.kvTokens());
	}

}
