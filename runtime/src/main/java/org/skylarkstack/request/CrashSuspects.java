package org.skylarkstack.request;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

import org.skylarkstack.crash.CrashAnalysis;
import org.skylarkstack.crash.CrashObservation;

/**
 * Requests whose engine crashed while it ran them, by fingerprint, and messages that
 * crash engines in different requests. Thread-safe and bounded: when the list is full, a
 * new suspect replaces the one whose last crash is the oldest.
 */
public final class CrashSuspects {

	/** Number of engine crashes in the whole fleet after which a request is refused. */
	public static final int MAX_CRASHES = 2;

	// One engine crash makes about 20 suspects; 4,096 cover simultaneous crashes of all
	// engines of a data centre.
	private static final int MAX_SUSPECTS = 4_096;

	private final long retentionNanos;

	// Reports of the same crash by several requests and VMs arrive within this time, in
	// which an engine cannot be back and crash again.
	private static final long SAME_CRASH_NANOS = 1_000_000_000L;

	private final Map<String, Suspect> suspects = new LinkedHashMap<>();

	private final CrashAnalysis analysis;

	private final Map<String, EngineCrash> latestCrashes = new HashMap<>();

	/**
	 * Creates an empty list.
	 * @param retentionNanos how long a request stays a suspect after its last crash, in
	 * nanoseconds
	 */
	public CrashSuspects(long retentionNanos) {
		this.retentionNanos = retentionNanos;
		this.analysis = new CrashAnalysis(retentionNanos, ThreadLocalRandom.current().nextDouble());
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
	 * Records which messages were in a request whose engine crashed.
	 * @param report the report of this VM or of a peer
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public synchronized void recordMessages(CrashReport report, long nowNanos) {
		this.latestCrashes.values().removeIf((crash) -> nowNanos - crash.nanos > SAME_CRASH_NANOS);
		EngineCrash crash = this.latestCrashes.computeIfAbsent(report.engineId(),
				(engine) -> new EngineCrash(report.crashId(), nowNanos));
		this.analysis.record(
				new CrashObservation(crash.id, report.fingerprint(), report.messages(), report.started(), crash.nanos),
				nowNanos);
	}

	/**
	 * Records that an engine has started a response to a request with certain messages.
	 * @param messages the keys of the messages
	 * @param sentNanos when the request was sent, as monotonic time in nanoseconds
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return whether any of the messages was a suspect
	 */
	public synchronized boolean recordStarted(List<String> messages, long sentNanos, long nowNanos) {
		this.analysis.recordSuccess(messages, sentNanos, nowNanos);
		return messages.stream().anyMatch(this.analysis::isSuspect);
	}

	/**
	 * Returns for how long requests with certain messages are refused.
	 * @param messages the keys of the messages
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the time in nanoseconds, 0 if they may run
	 */
	public synchronized long messageRefusalNanos(List<String> messages, long nowNanos) {
		return this.analysis.isEmpty() ? 0 : this.analysis.partRefusalNanos(messages, nowNanos);
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

	private record EngineCrash(String id, long nanos) {

	}

	private record Suspect(Set<String> crashIds, long expiryNanos) {

	}

}
