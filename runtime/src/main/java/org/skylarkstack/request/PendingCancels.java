package org.skylarkstack.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Cancels that are not yet confirmed, by engine. A cancel is confirmed when the engine no
 * longer lists the request, because an engine may accept a cancel and ignore it. Not
 * thread-safe.
 */
final class PendingCancels {

	private final int maxEntries;

	private final long retryTimeoutNanos;

	private final Map<String, Map<String, Long>> expiryByEngine = new HashMap<>();

	private int size;

	private long abandoned;

	PendingCancels(int maxEntries, long retryTimeoutNanos) {
		this.maxEntries = maxEntries;
		this.retryTimeoutNanos = retryTimeoutNanos;
	}

	boolean add(String engineId, String requestId, long nowNanos) {
		if (this.size >= this.maxEntries) {
			this.abandoned++;
			return false;
		}
		Map<String, Long> entries = this.expiryByEngine.computeIfAbsent(engineId, (key) -> new HashMap<>());
		if (entries.putIfAbsent(requestId, nowNanos + this.retryTimeoutNanos) == null) {
			this.size++;
		}
		return true;
	}

	// Returns the requests to cancel on an engine and drops those whose retry timeout has
	// passed. The sweeper frees what the engine still holds for the dropped ones.
	List<String> due(String engineId, long nowNanos) {
		Map<String, Long> entries = this.expiryByEngine.get(engineId);
		if (entries == null) {
			return List.of();
		}
		int before = entries.size();
		entries.values().removeIf((expiry) -> nowNanos - expiry >= 0);
		this.abandoned += before - entries.size();
		this.size -= before - entries.size();
		dropIfEmpty(engineId, entries);
		return new ArrayList<>(entries.keySet());
	}

	// Removes the cancelled requests that the engine no longer holds.
	void confirm(String engineId, List<String> cancelled, Set<String> held) {
		Map<String, Long> entries = this.expiryByEngine.get(engineId);
		if (entries == null) {
			return;
		}
		for (String requestId : cancelled) {
			if (!held.contains(requestId) && entries.remove(requestId) != null) {
				this.size--;
			}
		}
		dropIfEmpty(engineId, entries);
	}

	private void dropIfEmpty(String engineId, Map<String, Long> entries) {
		if (entries.isEmpty()) {
			this.expiryByEngine.remove(engineId);
		}
	}

	Set<String> engines() {
		return Set.copyOf(this.expiryByEngine.keySet());
	}

	int size() {
		return this.size;
	}

	long abandonedCount() {
		return this.abandoned;
	}

}
