package org.skylarkstack.edge;

/**
 * Resources of the process that one listener may use.
 *
 * @param bodies bounds the bodies of all requests together
 * @param memory bounds the other memory of all connections together
 * @param maxConnections the maximum number of open connections
 */
public record EdgeCapacity(RequestBodyBudget bodies, ConnectionMemoryBudget memory, int maxConnections) {

	// Descriptors for files and for the listeners themselves.
	private static final int RESERVED_DESCRIPTORS = 200;

	// The other connections are calls of servers and of the store, and those of the
	// readiness and metrics listeners.
	private static final double CALLER_SHARE = 0.6;

	private static final int AUXILIARY_CONNECTIONS = 32;

	// Enough for one head of the largest size, which counts about 1.08 MB.
	private static final long AUXILIARY_BYTES = 2 * 1024 * 1024;

	/**
	 * Creates a capacity.
	 * @throws IllegalArgumentException if no connection is allowed
	 */
	public EdgeCapacity {
		if (maxConnections < 1) {
			throw new IllegalArgumentException("maxConnections is %d, but must be above 0".formatted(maxConnections));
		}
	}

	/**
	 * Returns the capacity of the listener for callers.
	 * @param heapBytes the maximum size of the heap, in bytes
	 * @param maxConnections the maximum number of open connections
	 * @return the capacity
	 */
	public static EdgeCapacity forCallers(long heapBytes, int maxConnections) {
		return new EdgeCapacity(RequestBodyBudget.forHeap(heapBytes), ConnectionMemoryBudget.forHeap(heapBytes),
				maxConnections);
	}

	/**
	 * Returns the capacity of a listener for readiness checks or metrics, which accepts
	 * no bodies.
	 * @return the capacity
	 */
	public static EdgeCapacity forOperators() {
		return new EdgeCapacity(new RequestBodyBudget(0), new ConnectionMemoryBudget(AUXILIARY_BYTES),
				AUXILIARY_CONNECTIONS);
	}

	/**
	 * Returns the number of connections of callers that a process can hold.
	 * @param descriptors the maximum number of open descriptors of the process
	 * @return the number, a fixed share of the descriptors that are not used for files
	 */
	public static int connectionsFor(int descriptors) {
		return Math.max(1, (int) (CALLER_SHARE * (descriptors - RESERVED_DESCRIPTORS)));
	}

}
