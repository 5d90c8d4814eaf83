package org.skylarkstack.settings;

/**
 * Bounds on what callers may send.
 *
 * @param maxHeaderBytes the bound of all request headers in bytes
 * @param maxBodyBytes the bound of a request body in bytes
 * @param maxOpenRequests the bound of open requests in this daemon
 * @param bodyTimeoutMillis the bound for receiving a body in milliseconds
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, int maxOpenRequests, int bodyTimeoutMillis) {

	/** Default bounds. */
	public static final CallerLimits DEFAULT = new CallerLimits(16 * 1024, 4 * 1024 * 1024, 2_400, 10_000);

}
