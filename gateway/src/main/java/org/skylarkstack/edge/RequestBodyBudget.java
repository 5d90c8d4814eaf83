package org.skylarkstack.edge;

/**
 * Bounds the memory of the request bodies of all callers together, from the time at which
 * they are received until their responses have been handed over. What exceeds the bound
 * is refused while it is received. Confined to one thread.
 *
 * <p>
 * Large bodies may use only part of the budget, so that a few of them do not keep out the
 * many small requests.
 */
public final class RequestBodyBudget {

	private static final int LARGE_BODY_BYTES = 64 * 1024;

	private static final double LARGE_BODY_SHARE = 0.75;

	// A body without an announced length occupies up to twice its size. Sending a body to
	// a server takes its size again in direct memory.
	private static final int HEAP_DIVISOR = 3;

	private final long maxTotalBytes;

	private final long maxBytesForLarge;

	private long totalBytes;

	/**
	 * Creates a budget.
	 * @param maxTotalBytes the maximum size of all bodies together, in bytes
	 */
	public RequestBodyBudget(long maxTotalBytes) {
		this.maxTotalBytes = maxTotalBytes;
		this.maxBytesForLarge = (long) (LARGE_BODY_SHARE * maxTotalBytes);
	}

	/**
	 * Creates a budget for a process.
	 * @param heapBytes the maximum size of the heap, in bytes
	 * @return the budget, a fixed share of the heap
	 */
	public static RequestBodyBudget forHeap(long heapBytes) {
		return new RequestBodyBudget(heapBytes / HEAP_DIVISOR);
	}

	/**
	 * Reserves memory for a body.
	 * @param reservedBytes the bytes that are reserved for this body already
	 * @param bytes the further bytes
	 * @return whether the further bytes have been reserved
	 */
	boolean tryReserve(long reservedBytes, long bytes) {
		long max = (reservedBytes + bytes > LARGE_BODY_BYTES) ? this.maxBytesForLarge : this.maxTotalBytes;
		if (this.totalBytes + bytes > max) {
			return false;
		}
		this.totalBytes += bytes;
		return true;
	}

	/**
	 * Returns memory to the budget.
	 * @param bytes the number of bytes, which must have been reserved
	 */
	void release(long bytes) {
		this.totalBytes -= bytes;
	}

	/**
	 * Returns the size of all bodies together.
	 * @return the size in bytes
	 */
	public long totalBytes() {
		return this.totalBytes;
	}

}
