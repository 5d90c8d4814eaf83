package org.skylarkstack.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Prefix cache of a stand-in engine: blocks by chained hash, the least recently used is
 * evicted first.
 */
final class PrefixCache {

	/** Events kept for late readers; older ones are a gap to them. */
	private static final int MAX_EVENTS = 10_000;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final int capacity;

	private final EngineReporting reporting;

	private final RandomGenerator random;

	private final LinkedHashSet<Long> blocks = new LinkedHashSet<>();

	private final Deque<CacheEvent> events = new ArrayDeque<>();

	private long sequence;

	PrefixCache(int capacity, EngineReporting reporting, RandomGenerator random) {
		this.capacity = capacity;
		this.reporting = reporting;
		this.random = random;
	}

	int cachedBlocks(List<Long> hashes) {
		int cached = 0;
		while (cached < hashes.size() && this.blocks.contains(hashes.get(cached))) {
			cached++;
		}
		return cached;
	}

	void store(List<Long> hashes, long nowNanos) {
		for (int block = Math.min(hashes.size(), this.capacity) - 1; block >= 0; block--) {
			// The first block is touched last, because the rest is useless without it.
			long hash = hashes.get(block);
			if (!this.blocks.remove(hash)) {
				recordEvent(true, hash, nowNanos);
			}
			this.blocks.add(hash);
		}
		Iterator<Long> oldest = this.blocks.iterator();
		while (this.blocks.size() > this.capacity) {
			recordEvent(false, oldest.next(), nowNanos);
			oldest.remove();
		}
	}

	private void recordEvent(boolean stored, long hash, long nowNanos) {
		this.sequence++;
		if (this.random.nextDouble() < this.reporting.cacheEventLoss()) {
			return;
		}
		this.events.add(new CacheEvent(this.sequence, stored, hash,
				nowNanos + this.reporting.cacheEventLagMillis() * NANOS_PER_MILLI));
		if (this.events.size() > MAX_EVENTS) {
			this.events.remove();
		}
	}

	List<CacheEvent> eventsAfter(long after, long nowNanos) {
		return this.events.stream()
			.filter((event) -> event.sequence() > after && event.visibleAtNanos() <= nowNanos)
			.toList();
	}

}
