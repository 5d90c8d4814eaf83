package org.skylarkstack.schedule;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Bounded index of the prefix blocks that one engine caches. Its entries are hints: a
 * wrong entry costs time, never correctness.
 */
final class PrefixIndex {

	/** Number of prompt tokens in a prefix block. */
	static final int BLOCK_TOKENS = 256;

	private final int maxBlocks;

	private final LinkedHashMap<Long, Boolean> blocks;

	private long lastSequence = -1;

	PrefixIndex(int maxBlocks) {
		this.maxBlocks = maxBlocks;
		this.blocks = new LinkedHashMap<>(16, 0.75f, true) {

			private static final long serialVersionUID = 1L;

			@Override
			protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
				return size() > PrefixIndex.this.maxBlocks;
			}

		};
	}

	/**
	 * Applies an event. After a gap in the sequence numbers all indexed blocks are
	 * discarded, because the gap may hide removals. An event that is not newer than the
	 * last one is ignored.
	 * @param event the event
	 */
	void apply(CacheEvent event) {
		if (event.sequence() <= this.lastSequence) {
			return;
		}
		if (this.lastSequence >= 0 && event.sequence() != this.lastSequence + 1) {
			this.blocks.clear();
		}
		this.lastSequence = event.sequence();
		event.stored().forEach((hash) -> this.blocks.put(hash, true));
		event.removed().forEach(this.blocks::remove);
	}

	/**
	 * Adds the blocks that a granted prefill is expected to store.
	 * @param hashes the hashes of the blocks
	 */
	void addExpected(List<Long> hashes) {
		hashes.forEach((hash) -> this.blocks.put(hash, true));
	}

	/** Removes all blocks and the last sequence number after the engine has failed. */
	void clear() {
		this.blocks.clear();
		this.lastSequence = -1;
	}

	int cachedTokens(List<Long> hashes) {
		int count = 0;
		while (count < hashes.size() && this.blocks.containsKey(hashes.get(count))) {
			count++;
		}
		return count * BLOCK_TOKENS;
	}

	int size() {
		return this.blocks.size();
	}

}
