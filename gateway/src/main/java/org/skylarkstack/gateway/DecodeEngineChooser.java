package org.skylarkstack.gateway;

import java.util.List;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.peers.PeerUsage;
import org.skylarkstack.peers.RequestMemory;

/**
 * Chooses a decode engine with enough free memory for a request, from the memory that the
 * requests of this daemon and its peers occupy. An engine that has refused a request
 * counts as full for a short time, because its memory may be occupied by a peer's request
 * that has not been reported yet.
 */
final class DecodeEngineChooser {

	// Largest share of the memory that requests may occupy at their forecast peak. The
	// rest absorbs responses that are longer than expected.
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
	 * Chooses, from a sample of the engines with enough free memory, the one whose
	 * forecast peak is the lowest.
	 * @param candidates the engines to choose from
	 * @param profile the common profile of the engines
	 * @param memory the tokens that the request occupies and by which it will grow
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the engine, or {@code null} if the request fits at no engine
	 */
	@Nullable BackendState choose(List<BackendState> candidates, EngineProfile profile, RequestMemory memory, long nowNanos) {
		boolean anyHealthy = candidates.stream().anyMatch((candidate) -> !candidate.isAvoided(nowNanos));
		return this.sampler.cheapest(candidates, this.dataCentre, (candidate) -> !candidate.isCold(nowNanos),
				(candidate) -> (anyHealthy && candidate.isAvoided(nowNanos)) ? UNSUITABLE
						: peakShare(candidate, profile, memory, nowNanos) + candidate.coldCost(nowNanos));
	}

	private double peakShare(BackendState candidate, EngineProfile profile, RequestMemory memory, long nowNanos) {
		if (candidate.isFull(nowNanos) || this.peers.isChangingRole(candidate.node().roleKey(), nowNanos)) {
			return UNSUITABLE;
		}
		List<RequestMemory> requests = EngineOccupancy.requestMemory(candidate, this.peers, nowNanos);
		boolean empty = requests.isEmpty();
		requests.add(memory);
		double peak = (double) MemoryForecast.peakTokens(requests) / profile.kvTokens();
		return (empty || (peak <= MAX_PEAK_SHARE && requests.size() <= profile.slots())) ? peak : UNSUITABLE;
	}

}
