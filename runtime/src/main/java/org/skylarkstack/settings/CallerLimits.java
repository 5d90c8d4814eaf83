package org.skylarkstack.settings;

/**
 * Limits on the requests of callers.
 *
 * @param maxHeaderBytes the maximum size of all request headers of a request in bytes
 * @param maxBodyBytes the maximum size of a request body in bytes
 * @param maxOpenRequests the maximum number of open requests in this daemon
 * @param bodyTimeoutMillis the timeout for receiving a body in milliseconds
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, int maxOpenRequests, int bodyTimeoutMillis) {

	/** Default limits. */
	public static final CallerLimits DEFAULT = new CallerLimits(16 * 1024, 4 * 1024 * 1024, 2_400, 10_000);

}
