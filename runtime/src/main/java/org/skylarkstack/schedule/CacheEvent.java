package org.skylarkstack.schedule;

import java.util.List;

/**
 * Change of an engine's prefix cache. Events arrive late and with gaps.
 *
 * @param engineId the engine
 * @param sequence the number of the event, one higher than that of the event before
 * @param stored the hashes of the prefix blocks that were stored
 * @param removed the hashes of the prefix blocks that were removed
 */
public record CacheEvent(String engineId, long sequence, List<Long> stored, List<Long> removed) {

	/** Copies the lists. */
	public CacheEvent {
		stored = List.copyOf(stored);
		removed = List.copyOf(removed);
	}

}
