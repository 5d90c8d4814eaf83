package org.skylarkstack.settings;

/**
 * Timeouts for the stages of a backend request and for the shutdown, in milliseconds.
 *
 * @param connectMillis the timeout for connecting to a backend server
 * @param prefillIdleMillis the maximum time without data during a prefill
 * @param firstTokenIdleMillis the maximum time from the start of a decode to its first
 * token
 * @param tokenIdleMillis the maximum time between two tokens
 * @param serviceIdleMillis the maximum time without data from a plain service
 * @param drainMillis the maximum time for finishing open requests at shutdown
 * @param balancerReleaseMillis how long requests are still accepted at shutdown after the
 * readiness check fails
 */
public record BackendTimeouts(int connectMillis, int prefillIdleMillis, int firstTokenIdleMillis, int tokenIdleMillis,
		int serviceIdleMillis, int drainMillis, int balancerReleaseMillis) {

	/** Default timeouts. */
	public static final BackendTimeouts DEFAULT = new BackendTimeouts(500, 10_000, 3_000, 2_000, 5_000, 60_000, 3_000);

}
