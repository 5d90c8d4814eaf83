package org.skylarkstack.request;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Requests whose backend server died while running them, by fingerprint. Thread-safe and
 * bounded: past the bound the oldest suspect is forgotten.
 */
public final class CrashSuspects {

	/** Backend servers that one request may cost in the whole fleet. */
	public static final int MAX_LOSSES = 2;

	// An engine crash makes about 20 suspects; 4,096 cover the crashes of a data centre's
	// engines at once.
	private static final int MAX_SUSPECTS = 4_096;

	private final long retentionNanos;

	private final Map<String, Suspect> suspects = new LinkedHashMap<>();

	/**
	 * Creates an empty list.
	 * @param retentionNanos how long a request stays a suspect after its last loss
	 */
	public CrashSuspects(long retentionNanos) {
		this.retentionNanos = retentionNanos;
	}

	/**
	 * Records the loss of a backend server.
	 * @param fingerprint the hash of team and body
	 * @param crashId the attempt whose engine died; recorded once
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the number of losses within the term
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
	 * Forgets a suspect that ran to its end.
	 * @param fingerprint the hash of team and body
	 */
	public synchronized void clear(String fingerprint) {
		this.suspects.remove(fingerprint);
	}

	/**
	 * Returns the losses that a request caused.
	 * @param fingerprint the hash of team and body
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the number of backend servers lost within the term
	 */
	public synchronized int losses(String fingerprint, long nowNanos) {
		expire(nowNanos);
		Suspect suspect = this.suspects.get(fingerprint);
		return (suspect != null) ? suspect.crashIds.size() : 0;
	}

	// The entries are in the order of their last loss, so the oldest come first.
	private void expire(long nowNanos) {
		this.suspects.values().removeIf((suspect) -> nowNanos - suspect.expiryNanos >= 0);
	}

	private record Suspect(Set<String> crashIds, long expiryNanos) {

	}

}
