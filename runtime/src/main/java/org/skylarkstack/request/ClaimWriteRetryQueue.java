package org.skylarkstack.request;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import org.skylarkstack.store.RowWrite;
import org.skylarkstack.store.StoreException;
import org.skylarkstack.store.TableStore;

/**
 * Bounded queue of claim writes that the store did not confirm: releases of claims whose
 * request did not run, and outcomes of requests that ran. Each write is conditional on
 * the attempt that owns the claim, so repeating it is harmless.
 */
public final class ClaimWriteRetryQueue {

	private static final int MAX_ENTRIES = 2_000;

	private static final int BATCH_SIZE = 50;

	// A claim write whose effect is unknown may still be applied later. A release that
	// finds no row is therefore repeated for this time.
	private static final long LATE_WRITE_WINDOW_NANOS = 30_000_000_000L;

	// Longer than the usual outages of the store. A write that is dropped after it leaves
	// its claim to expire.
	private static final long RETRY_TIMEOUT_NANOS = 4 * 3_600_000_000_000L;

	private final TableStore store;

	private final Deque<PendingWrite> queue = new ArrayDeque<>();

	private long dropped;

	/**
	 * Creates a queue.
	 * @param store the platform's table
	 */
	public ClaimWriteRetryQueue(TableStore store) {
		this.store = store;
	}

	synchronized void add(RowWrite write, long nowNanos) {
		if (this.queue.size() >= MAX_ENTRIES) {
			this.dropped++;
			return;
		}
		this.queue.add(new PendingWrite(write, nowNanos));
	}

	/**
	 * Retries up to 50 writes and stops at the first store failure. To be called
	 * periodically.
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public void step(long nowNanos) {
		int count = Math.min(BATCH_SIZE, size());
		for (int index = 0; index < count; index++) {
			PendingWrite pending = poll();
			if (pending == null) {
				return;
			}
			try {
				boolean applied = this.store.write(List.of(pending.write));
				if (!applied && pending.write.delete() && nowNanos - pending.queuedNanos < LATE_WRITE_WINDOW_NANOS) {
					requeue(pending);
				}
			}
			catch (StoreException ex) {
				if (nowNanos - pending.queuedNanos < RETRY_TIMEOUT_NANOS) {
					requeue(pending);
				}
				return;
			}
		}
	}

	private synchronized @org.jspecify.annotations.Nullable PendingWrite poll() {
		return this.queue.poll();
	}

	private synchronized void requeue(PendingWrite pending) {
		this.queue.add(pending);
	}

	/**
	 * Returns the number of queued writes.
	 * @return the count
	 */
	public synchronized int size() {
		return this.queue.size();
	}

	/**
	 * Returns the number of writes that were dropped because the queue was full. Their
	 * claims stay until they expire.
	 * @return the count since start
	 */
	public synchronized long dropped() {
		return this.dropped;
	}

	private record PendingWrite(RowWrite write, long queuedNanos) {

	}

}
