package org.skylarkstack.request;

import java.util.HashMap;
import java.util.Map;

/**
 * Engines that this VM recently failed to reach or that stopped responding. Placements on
 * them are avoided for 3 s, so that a dead engine costs one retry instead of one for each
 * request. Thread-safe; its size is bounded by the number of engines.
 */
public final class EngineQuarantine {

	// Load reports take about as long to show that an engine is unreachable.
	private static final long QUARANTINE_NANOS = 3_000_000_000L;

	private final Map<String, Long> endNanosByEngine = new HashMap<>();

	synchronized void add(String engineId, long nowNanos) {
		this.endNanosByEngine.put(engineId, nowNanos + QUARANTINE_NANOS);
	}

	synchronized boolean contains(String engineId, long nowNanos) {
		Long end = this.endNanosByEngine.get(engineId);
		if (end == null) {
			return false;
		}
		if (nowNanos - end >= 0) {
			this.endNanosByEngine.remove(engineId);
			return false;
		}
		return true;
	}

}
