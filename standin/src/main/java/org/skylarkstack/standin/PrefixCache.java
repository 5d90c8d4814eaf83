package org.skylarkstack.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Prefix cache of a stand-in engine. Blocks are identified by their chained hashes, and
 * the least recently used block is evicted first.
 */
final class PrefixCache {

	/** Limit of the stored events; a slower reader sees the dropped ones as a gap. */
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
			// The first block becomes the most recently used, because later blocks of a
			// prefix are unusable without it.
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
