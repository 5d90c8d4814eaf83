package org.skylarkstack.gateway;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.skylarkstack.peers.RequestMemory;

/**
 * Forecasts the peak memory that the requests of an engine will occupy together.
 *
 * <p>
 * All requests of a batch grow by the same number of tokens in the same time, and free
 * all their memory when they end. The peak is therefore reached just before one of the
 * requests ends. The total at that moment is the sum over the requests that are still
 * running, which are those with at least as many tokens remaining, of the tokens that
 * each occupies by then.
 *
 * <p>
 * The forecast guards against bursts of requests that start together: they fit while
 * their responses are short, and preempt each other for lack of memory once the responses
 * have grown.
 */
final class MemoryForecast {

	private MemoryForecast() {
	}

	/**
	 * Returns the forecast peak.
	 * @param requests the memory of each request
	 * @return the largest number of tokens that the requests occupy together
	 */
	static long peakTokens(List<RequestMemory> requests) {
		List<RequestMemory> order = new ArrayList<>(requests);
		order.sort(Comparator.comparingLong(RequestMemory::expectedGrowthTokens).reversed());
		long peak = 0;
		long occupied = 0;
		for (int index = 0; index < order.size(); index++) {
			RequestMemory request = order.get(index);
			occupied += request.tokens();
			peak = Math.max(peak, occupied + (index + 1) * request.expectedGrowthTokens());
		}
		return peak;
	}

}
