package org.skylarkstack.gateway;

import java.util.HashMap;
import java.util.Map;

/**
 * Estimates how long ago a caller first sent a request. A caller that was refused and
 * retries states less remaining time than a first attempt does. The difference to the
 * longest time that any caller of the route has stated is taken as the age of the
 * request.
 */
final class RequestAgeEstimator {

	private final Map<String, Long> longestStatedMillis = new HashMap<>();

	/**
	 * Returns the estimated age of a request at its arrival.
	 * @param route the name of the route, which has its own longest stated time
	 * @param statedMillis the caller's remaining time in milliseconds, or a negative
	 * number if it states none
	 * @return the time since the first attempt in milliseconds; 0 for a first attempt or
	 * if the caller states no time
	 */
	long ageMillis(String route, long statedMillis) {
		if (statedMillis < 0) {
			return 0;
		}
		long longest = this.longestStatedMillis.merge(route, statedMillis, Math::max);
		return longest - statedMillis;
	}

}
