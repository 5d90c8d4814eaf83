package org.skylarkstack.edge;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Bounds the memory of response bodies that are read completely before they are used:
 * that of each body, and that of all bodies of the process together. A body that exceeds
 * its bound is dropped. If all bodies together exceed theirs, the largest is dropped.
 * Confined to one thread.
 *
 * <p>
 * The budget guards against servers that send bytes without end. The largest body is
 * dropped rather than the newest because it is the most likely to be endless.
 */
public final class BodyBudget {

	private static final long DEFAULT_MAX_BODY_BYTES = 4 * 1024 * 1024;

	// A body occupies up to three times its size while its buffer grows, and up to twice
	// while it is copied into the response to the caller.
	private static final int HEAP_DIVISOR = 8;

	private final long maxBodyBytes;

	private final long maxTotalBytes;

	private final Set<BodyBuffer> buffers = new LinkedHashSet<>();

	private long totalBytes;

	/**
	 * Creates a budget.
	 * @param maxBodyBytes the maximum size of one body, in bytes
	 * @param maxTotalBytes the maximum size of all bodies together, in bytes
	 */
	public BodyBudget(long maxBodyBytes, long maxTotalBytes) {
		this.maxBodyBytes = maxBodyBytes;
		this.maxTotalBytes = maxTotalBytes;
	}

	/**
	 * Creates a budget for a process.
	 * @param heapBytes the maximum size of the heap, in bytes
	 * @return the budget, a fixed share of the heap
	 */
	public static BodyBudget forHeap(long heapBytes) {
		long total = heapBytes / HEAP_DIVISOR;
		return new BodyBudget(Math.min(DEFAULT_MAX_BODY_BYTES, total), total);
	}

	/**
	 * Opens a buffer for one body.
	 * @param overflowAction called once if the body is dropped
	 * @return the empty buffer, which the caller must release
	 */
	public BodyBuffer open(Runnable overflowAction) {
		return new BodyBuffer(this, overflowAction);
	}

	/**
	 * Returns the size of all bodies together.
	 * @return the size in bytes
	 */
	public long totalBytes() {
		return this.totalBytes;
	}

	void grown(BodyBuffer buffer, int bytes) {
		this.buffers.add(buffer);
		this.totalBytes += bytes;
		if (buffer.size() > this.maxBodyBytes) {
			buffer.drop();
		}
		while (this.totalBytes > this.maxTotalBytes) {
			this.buffers.stream().max(Comparator.comparingInt(BodyBuffer::size)).ifPresent(BodyBuffer::drop);
		}
	}

	void released(BodyBuffer buffer, int bytes) {
		this.buffers.remove(buffer);
		this.totalBytes -= bytes;
	}

}
