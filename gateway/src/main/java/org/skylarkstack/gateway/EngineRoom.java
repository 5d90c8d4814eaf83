package org.skylarkstack.gateway;

import java.util.List;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.peers.PeerUsage;

/**
 * Finds decode engines with memory for a request, by what this daemon and its peers
 * occupy. An engine that refused a request counts as full for a moment, because somebody
 * else's request may not be known here yet.
 */
final class EngineRoom {

	// Answers differ from their expected lengths; the rest of the memory absorbs that.
	private static final double FILL = 0.92;

	private static final double REMOTE_PENALTY = 0.02;

	private static final double FAILURE_PENALTY = 1.0;

	private final PeerUsage peers;

	private final String dataCentre;

	EngineRoom(PeerUsage peers, String dataCentre) {
		this.peers = peers;
		this.dataCentre = dataCentre;
	}

	/**
	 * Finds the engine with the most room.
	 * @param candidates the engines that may be used
	 * @param profile the profile of the engines
	 * @param tokens the tokens of the request
	 * @param nowNanos the present time
	 * @return the engine, or {@code null} if the request fits nowhere
	 */
	@Nullable BackendState find(List<BackendState> candidates, EngineProfile profile, long tokens, long nowNanos) {
		boolean anyHealthy = candidates.stream().anyMatch((candidate) -> !candidate.avoided(nowNanos));
		BackendState best = null;
		double bestCost = Double.MAX_VALUE;
		for (BackendState candidate : candidates) {
			if (candidate.full(nowNanos) || (anyHealthy && candidate.avoided(nowNanos))) {
				continue;
			}
			long occupied = candidate.openTokens() + this.peers.tokensOfPeers(candidate.node().id(), nowNanos);
			if (occupied > 0 && occupied + tokens > FILL * profile.kvTokens()) {
				continue;
			}
			double cost = (double) occupied / profile.kvTokens() + FAILURE_PENALTY * candidate.failureShare()
					+ (candidate.node().dataCentre().equals(this.dataCentre) ? 0 : REMOTE_PENALTY);
			if (cost < bestCost) {
				best = candidate;
				bestCost = cost;
			}
		}
		return best;
	}

}
