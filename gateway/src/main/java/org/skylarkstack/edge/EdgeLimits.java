package org.skylarkstack.edge;

/**
 * Bounds on what a caller may send and how long it may take.
 *
 * @param maxHeaderBytes the bound of the request line and headers in bytes
 * @param maxBodyBytes the bound of a body in bytes
 * @param headerTimeoutMillis the longest time for a request to arrive, in milliseconds
 * @param idleTimeoutMillis the longest pause between requests of a connection, in
 * milliseconds
 */
public record EdgeLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

	/** Bounds in force before a configuration is known. */
	public static final EdgeLimits DEFAULT = new EdgeLimits(16 * 1024, 4 * 1024 * 1024, 5_000, 30_000);

}
