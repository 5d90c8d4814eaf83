package org.skylarkstack.edge;

/**
 * Bounds the memory that the connections of callers occupy besides the request bodies:
 * heads, input that waits behind a request, and responses that have not been read.
 * Confined to one thread.
 *
 * <p>
 * Designed for callers that send many short header fields, pipeline deeply or do not
 * read. Connections that occupy much may use only part of the budget, so that requests of
 * ordinary size still fit while a group of callers exhausts that part.
 */
public final class ConnectionMemoryBudget {

	// With the share of RequestBodyBudget and of BodyBudget, two thirds of the heap are
	// in use at most. Responses that are not read are in direct memory.
	private static final int HEAP_DIVISOR = 6;

	// More than a request of ordinary size occupies.
	private static final int SMALL_BYTES = 16 * 1024;

	private static final int MEDIUM_BYTES = 64 * 1024;

	private static final double MEDIUM_SHARE = 0.9;

	private static final double LARGE_SHARE = 0.75;

	private static final double UNREAD_SHARE = 0.5;

	private final long maxTotalBytes;

	private long totalBytes;

	private long unreadBytes;

	/**
	 * Creates a budget.
	 * @param maxTotalBytes the maximum of all connections together, in bytes
	 */
	public ConnectionMemoryBudget(long maxTotalBytes) {
		this.maxTotalBytes = maxTotalBytes;
	}

	/**
	 * Creates a budget for a process.
	 * @param heapBytes the maximum size of the heap, in bytes
	 * @return the budget, a fixed share of the heap
	 */
	public static ConnectionMemoryBudget forHeap(long heapBytes) {
		return new ConnectionMemoryBudget(heapBytes / HEAP_DIVISOR);
	}

	/**
	 * Reserves memory.
	 * @param reservedBytes the bytes that the connection has reserved already
	 * @param bytes the further bytes
	 * @return whether the further bytes have been reserved
	 */
	boolean tryReserve(long reservedBytes, long bytes) {
		if (this.totalBytes + bytes > share(reservedBytes + bytes) * this.maxTotalBytes) {
			return false;
		}
		this.totalBytes += bytes;
		return true;
	}

	private static double share(long bytes) {
		if (bytes <= SMALL_BYTES) {
			return 1;
		}
		return (bytes <= MEDIUM_BYTES) ? MEDIUM_SHARE : LARGE_SHARE;
	}

	/**
	 * Records memory that is in use already.
	 * @param bytes the further bytes, negative to return some
	 */
	void add(long bytes) {
		this.totalBytes += bytes;
	}

	/**
	 * Records responses that a caller has not read.
	 * @param bytes the further bytes, negative for those that have been read
	 */
	void addUnread(long bytes) {
		this.unreadBytes += bytes;
		this.totalBytes += bytes;
	}

	/**
	 * Returns whether responses that have not been read occupy more than their share.
	 * @return whether some connections should be closed
	 */
	boolean unreadExceeded() {
		return this.unreadBytes > UNREAD_SHARE * this.maxTotalBytes;
	}

	/**
	 * Returns the memory of all connections together.
	 * @return the size in bytes
	 */
	public long totalBytes() {
		return this.totalBytes;
	}

}
