package org.skylarkstack.schedule;

import java.util.List;

/**
 * Change of an engine's prefix cache. Events may arrive late, and some may be missing.
 *
 * @param engineId the identifier of the engine
 * @param sequence the sequence number; each event of an engine has the number of the
 * event before it plus one
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
