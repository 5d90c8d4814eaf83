package org.skylarkstack.edge;

/**
 * Limits on the size and the duration of callers' requests and on idle connections.
 *
 * @param maxHeaderBytes the maximum size of the request headers, in bytes
 * @param maxBodyBytes the maximum size of the request body, in bytes
 * @param requestTimeoutMillis the maximum time from the first to the last byte of a
 * request, including its body, in milliseconds
 * @param idleTimeoutMillis the maximum time that a connection stays open without a
 * request, in milliseconds
 */
public record EdgeLimits(int maxHeaderBytes, int maxBodyBytes, long requestTimeoutMillis, long idleTimeoutMillis) {

	/** Limits that apply until a configuration is known. */
	public static final EdgeLimits DEFAULT = new EdgeLimits(16 * 1024, 4 * 1024 * 1024, 5_000, 30_000);

	/**
	 * Returns limits that allow what these or others allow.
	 * @param other the other limits
	 * @return the higher value of each limit
	 */
	public EdgeLimits max(EdgeLimits other) {
		return new EdgeLimits(Math.max(this.maxHeaderBytes, other.maxHeaderBytes),
				Math.max(this.maxBodyBytes, other.maxBodyBytes),
				Math.max(this.requestTimeoutMillis, other.requestTimeoutMillis),
				Math.max(this.idleTimeoutMillis, other.idleTimeoutMillis));
	}

}
