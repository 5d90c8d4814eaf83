package org.skylarkstack.settings;

/**
 * Idle bounds for each stage of a request, in milliseconds.
 *
 * @param connectMillis connecting to a backend server
 * @param prefillIdleMillis silence while a prefill runs
 * @param firstTokenIdleMillis silence between the start of a decode and its first token
 * @param tokenIdleMillis silence between two tokens
 * @param serviceIdleMillis silence of a plain service
 * @param drainMillis the bound for finishing streams at shutdown
 * @param balancerReleaseMillis how long requests are accepted after readiness ended
 */
public record BackendTimeouts(int connectMillis, int prefillIdleMillis, int firstTokenIdleMillis, int tokenIdleMillis,
		int serviceIdleMillis, int drainMillis, int balancerReleaseMillis) {

	/** Default bounds. */
	public static final BackendTimeouts DEFAULT = new BackendTimeouts(500, 10_000, 3_000, 2_000, 5_000, 60_000, 3_000);

}
