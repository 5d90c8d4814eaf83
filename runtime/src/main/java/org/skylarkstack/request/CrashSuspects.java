package org.skylarkstack.request;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Requests whose engine crashed while it ran them, by fingerprint. Thread-safe and
 * bounded: when the list is full, a new suspect replaces the one whose last crash is the
 * oldest.
 */
public final class CrashSuspects {

	/** Number of engine crashes in the whole fleet after which a request is refused. */
	public static final int MAX_CRASHES = 2;

	// One engine crash makes about 20 suspects; 4,096 cover simultaneous crashes of all
	// engines of a data centre.
	private static final int MAX_SUSPECTS = 4_096;

	private final long retentionNanos;

	private final Map<String, Suspect> suspects = new LinkedHashMap<>();

	/**
	 * Creates an empty list.
	 * @param retentionNanos how long a request stays a suspect after its last crash, in
	 * nanoseconds
	 */
	public CrashSuspects(long retentionNanos) {
		this.retentionNanos = retentionNanos;
	}

	/**
	 * Records the crash of an engine.
	 * @param fingerprint the hash of team, path and body
	 * @param crashId the id of the attempt whose engine crashed; repeats are counted once
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the number of crashes recorded within the retention time
	 */
	public synchronized int record(String fingerprint, String crashId, long nowNanos) {
		expire(nowNanos);
		Suspect previous = this.suspects.remove(fingerprint);
		Set<String> crashIds = (previous != null) ? previous.crashIds : new HashSet<>();
		crashIds.add(crashId);
		this.suspects.put(fingerprint, new Suspect(crashIds, nowNanos + this.retentionNanos));
		if (this.suspects.size() > MAX_SUSPECTS) {
			this.suspects.remove(this.suspects.keySet().iterator().next());
		}
		return crashIds.size();
	}

	/**
	 * Removes a suspect whose request ran to its end.
	 * @param fingerprint the hash of team, path and body
	 */
	public synchronized void clear(String fingerprint) {
		this.suspects.remove(fingerprint);
	}

	/**
	 * Returns the number of engine crashes that were recorded for a request.
	 * @param fingerprint the hash of team, path and body
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the number of crashes recorded within the retention time
	 */
	public synchronized int crashCount(String fingerprint, long nowNanos) {
		expire(nowNanos);
		Suspect suspect = this.suspects.get(fingerprint);
		return (suspect != null) ? suspect.crashIds.size() : 0;
	}

	// Entries are ordered by their last crash, oldest first.
	private void expire(long nowNanos) {
		this.suspects.values().removeIf((suspect) -> nowNanos - suspect.expiryNanos >= 0);
	}

	private record Suspect(Set<String> crashIds, long expiryNanos) {

	}

}
