package org.skylarkstack.gateway;

import java.util.HashMap;
import java.util.Map;

/**
 * Tells how long ago a caller first asked. A caller that was refused and comes back has
 * less time left than callers of the route usually state; the difference is its age.
 */
final class RequestAgeEstimator {

	private final Map<String, Long> longestStatedMillis = new HashMap<>();

	/**
	 * Returns the age of a request when it arrives.
	 * @param route the route
	 * @param statedMillis the time that the caller has left, in milliseconds, or a
	 * negative number if it does not say
	 * @return the time since its first attempt in milliseconds, 0 for a first attempt
	 */
	long ageMillis(String route, long statedMillis) {
		if (statedMillis < 0) {
			return 0;
		}
		long longest = this.longestStatedMillis.merge(route, statedMillis, Math::max);
		return longest - statedMillis;
	}

}
