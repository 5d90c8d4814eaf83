package org.skylarkstack.gateway;

import java.util.List;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.peers.EngineRun;
import org.skylarkstack.peers.PeerUsage;

/**
 * Finds decode engines with memory for a request, by what this daemon and its peers
 * occupy. An engine that refused a request counts as full for a moment, because somebody
 * else's request may not be known here yet.
 */
final class DecodeEngineChooser {

	// Answers differ from their expected lengths; the rest of the memory absorbs that.
	private static final double MAX_PEAK_SHARE = 0.84;

	private static final double UNSUITABLE = Double.POSITIVE_INFINITY;

	private final PeerUsage peers;

	private final String dataCentre;

	private final EngineSampler sampler;

	DecodeEngineChooser(PeerUsage peers, String dataCentre, RandomGenerator random) {
		this.peers = peers;
		this.dataCentre = dataCentre;
		this.sampler = new EngineSampler(peers, random);
	}

	/**
	 * Finds the engine with the most room of a sample of those that have enough.
	 * @param candidates the engines that may be used
	 * @param profile the profile of the engines
	 * @param memory the memory of the request
	 * @param nowNanos the present time
	 * @return the engine, or {@code null} if the request fits nowhere
	 */
	@Nullable BackendState choose(List<BackendState> candidates, EngineProfile profile, EngineRun memory, long nowNanos) {
		boolean anyHealthy = candidates.stream().anyMatch((candidate) -> !candidate.avoided(nowNanos));
		return this.sampler.cheapest(candidates, this.dataCentre, (candidate) -> true,
				(candidate) -> (anyHealthy && candidate.avoided(nowNanos)) ? UNSUITABLE
						: peakShare(candidate, profile, memory, nowNanos));
	}

	private double peakShare(BackendState candidate, EngineProfile profile, EngineRun memory, long nowNanos) {
		if (candidate.full(nowNanos) || this.peers.isChanging(candidate.node().roleKey(), nowNanos)) {
			return UNSUITABLE;
		}
		List<EngineRun> runs = EngineOccupancy.runs(candidate, this.peers, nowNanos);
		boolean empty = runs.isEmpty();
		runs.add(memory);
		double peak = (double) MemoryForecast.peakTokens(runs) / profile.kvTokens();
		return (empty || (peak <= MAX_PEAK_SHARE && runs.size() <= profile.slots())) ? peak : UNSUITABLE;
	}

}
