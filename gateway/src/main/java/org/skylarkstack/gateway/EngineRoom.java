package org.skylarkstack.gateway;

import java.util.ArrayList;
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
final class EngineRoom {

	// Answers differ from their expected lengths; the rest of the memory absorbs that.
	private static final double FILL = 0.84;

	private static final double REMOTE_PENALTY = 0.02;

	private static final double FAILURE_PENALTY = 1.0;

	private final PeerUsage peers;

	private final String dataCentre;

	private final RandomGenerator random;

	EngineRoom(PeerUsage peers, String dataCentre, RandomGenerator random) {
		this.peers = peers;
		this.dataCentre = dataCentre;
		this.random = random;
	}

	/**
	 * Finds the engine with the most room of a sample of those that have enough.
	 * @param candidates the engines that may be used
	 * @param profile the profile of the engines
	 * @param memory the memory of the request
	 * @param nowNanos the present time
	 * @return the engine, or {@code null} if the request fits nowhere
	 */
	@Nullable BackendState find(List<BackendState> candidates, EngineProfile profile, EngineRun memory, long nowNanos) {
		boolean anyHealthy = candidates.stream().anyMatch((candidate) -> !candidate.avoided(nowNanos));
		BackendState best = null;
		double bestCost = Double.MAX_VALUE;
		int compared = 0;
		int sample = EngineSample.size(candidates.size(), this.peers.daemons());
		for (BackendState candidate : EngineSample.ordered(candidates, this.dataCentre, this.random)) {
			if (compared == sample) {
				break;
			}
			if (candidate.full(nowNanos) || this.peers.isChanging(candidate.node().roleKey(), nowNanos)
					|| (anyHealthy && candidate.avoided(nowNanos))) {
				continue;
			}
			List<EngineRun> runs = new ArrayList<>(candidate.runs());
			runs.addAll(this.peers.runsOfPeers(candidate.node().id(), nowNanos));
			boolean empty = runs.isEmpty();
			runs.add(memory);
			double peak = (double) MemoryForecast.peak(runs) / profile.kvTokens();
			if (!empty && (peak > FILL || runs.size() > profile.slots())) {
				continue;
			}
			compared++;
			double cost = peak + FAILURE_PENALTY * candidate.failureShare()
					+ (candidate.node().dataCentre().equals(this.dataCentre) ? 0 : REMOTE_PENALTY);
			if (cost < bestCost) {
				best = candidate;
				bestCost = cost;
			}
		}
		return best;
	}

}
