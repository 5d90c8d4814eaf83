package org.skylarkstack.gateway;

import java.util.List;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.peers.EngineRun;
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

	private static final double REMOTE_PENALTY = 0.02;

	private static final double FAILURE_PENALTY = 1.0;

	private static final double AVOID_PENALTY = 1_000;

	private static final double JITTER = 0.01;

	private static final double SMOOTHING = 0.2;

	private final PeerUsage peers;

	private final RandomGenerator random;

	private double tokensPerMilli;

	/**
	 * Creates a chooser.
	 * @param peers what peers use
	 * @param random the source of randomness
	 */
	public EngineChooser(PeerUsage peers, RandomGenerator random) {
		this.peers = peers;
		this.random = random;
	}

	/**
	 * Learns how fast an engine without other work processes a prompt.
	 * @param tokens the tokens of the prompt
	 * @param millis the time that it took, in milliseconds
	 */
	public void processed(long tokens, long millis) {
		double latest = (double) tokens / Math.max(1, millis);
		this.tokensPerMilli = (this.tokensPerMilli == 0) ? latest
				: this.tokensPerMilli + SMOOTHING * (latest - this.tokensPerMilli);
	}

	/**
	 * Returns the tokens that wait or are processed at an engine.
	 * @param candidate the engine
	 * @param nowNanos the present time
	 * @return the tokens, by what all daemons report
	 */
	public long backlog(BackendState candidate, long nowNanos) {
		long others = this.peers.runsOfPeers(candidate.node().id(), nowNanos)
			.stream()
			.mapToLong(EngineRun::tokens)
			.sum();
		return candidate.openTokens() + others;
	}

	/**
	 * Estimates how long a prompt waits at an engine before it is processed.
	 * @param candidate the engine
	 * @param nowNanos the present time
	 * @return the time in milliseconds; 0 while the speed is not known
	 */
	public long waitMillis(BackendState candidate, long nowNanos) {
		return (this.tokensPerMilli == 0) ? 0 : (long) (backlog(candidate, nowNanos) / this.tokensPerMilli);
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
		BackendState best = null;
		double bestCost = Double.MAX_VALUE;
		int compared = 0;
		int sample = EngineSample.size(candidates.size(), this.peers.daemons());
		for (BackendState candidate : EngineSample.ordered(candidates, dataCentre, this.random)) {
			if (compared == sample) {
				break;
			}
			compared += candidate.avoided(nowNanos) ? 0 : 1;
			double cost = occupancy(candidate, profile, tokens, nowNanos) + FAILURE_PENALTY * candidate.failureShare()
					+ (candidate.node().dataCentre().equals(dataCentre) ? 0 : REMOTE_PENALTY)
					+ (candidate.avoided(nowNanos) ? AVOID_PENALTY : 0) + JITTER * this.random.nextDouble();
			if (cost < bestCost) {
				best = candidate;
				bestCost = cost;
			}
		}
		return best;
	}

	private double occupancy(BackendState candidate, EngineProfile profile, long tokens, long nowNanos) {
		return (double) (backlog(candidate, nowNanos) + tokens) / Math.max(1, profile.kvTokens());
	}

}
