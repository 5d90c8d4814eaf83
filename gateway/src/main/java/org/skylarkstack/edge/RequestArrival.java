package org.skylarkstack.edge;

/**
 * How a request of a caller arrived.
 *
 * @param number the position of the request on its connection, 1 for the first request
 * @param firstByteNanos when its first byte was read, on the monotonic clock in
 * nanoseconds
 */
public record RequestArrival(int number, long firstByteNanos) {

	/** Arrival of the first request of a connection, at an unknown time. */
	public static final RequestArrival UNKNOWN = new RequestArrival(1, 0);

}
