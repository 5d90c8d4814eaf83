package org.skylarkstack.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.skylarkstack.peers.EngineRun;

/**
 * Forecasts the most memory that the requests of an engine will occupy together.
 *
 * <p>
 * All requests of a batch grow by the same number of tokens in the same time, and free
 * everything when they end. The peak is therefore just before one of them ends: with the
 * requests ordered by what they have left, the sum over those that still run then of what
 * they occupy by then.
 *
 * <p>
 * Answers the load pattern of requests that start together in a burst: they fit while
 * they are short and push each other out of memory when they have grown.
 */
final class MemoryForecast {

	private MemoryForecast() {
	}

	/**
	 * Returns the peak.
	 * @param runs the requests
	 * @return the most tokens that they occupy together
	 */
	static long peakTokens(List<EngineRun> runs) {
		List<EngineRun> order = new ArrayList<>(runs);
		order.sort(Comparator.comparingLong(EngineRun::remaining).reversed());
		long peak = 0;
		long occupied = 0;
		for (int index = 0; index < order.size(); index++) {
			EngineRun run = order.get(index);
			occupied += run.tokens();
			peak = Math.max(peak, occupied + (index + 1) * run.remaining());
		}
		return peak;
	}

}
