package org.skylarkstack.settings;

/**
 * Limits on the requests of callers.
 *
 * @param maxHeaderBytes the maximum size of all request headers of a request in bytes
 * @param maxBodyBytes the maximum size of a request body in bytes
 * @param maxOpenRequests the maximum number of open requests in this daemon
 * @param bodyTimeoutMillis the timeout for receiving a body in milliseconds
 * @param unreadTimeoutMillis the timeout for sending a response of which the caller reads
 * nothing, in milliseconds, or 0 for the default
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, int maxOpenRequests, int bodyTimeoutMillis,
		int unreadTimeoutMillis) {

	private static final int DEFAULT_UNREAD_TIMEOUT_MILLIS = 30_000;

	/** Default limits. */
	public static final CallerLimits DEFAULT = new CallerLimits(16 * 1024, 4 * 1024 * 1024, 2_400, 10_000,
			DEFAULT_UNREAD_TIMEOUT_MILLIS);

	/**
	 * Replaces a missing timeout by the default.
	 */
	public CallerLimits {
		if (unreadTimeoutMillis == 0) {
			unreadTimeoutMillis = DEFAULT_UNREAD_TIMEOUT_MILLIS;
		}
	}

}
