package org.skylarkstack.gateway;

import java.util.HashMap;
import java.util.Map;

import org.skylarkstack.peers.PeerUsage;

/**
 * Requests that were running at a backend server when it crashed, any of which may have
 * caused the crash.
 *
 * <p>
 * All requests that a crashed server was running become suspects, although most of them
 * are harmless. A successful response clears a request, and a suspicion expires after a
 * fixed time. A request that was running at too many crashes, counted over all daemons,
 * is refused, because it would crash one server after the other. Confined to one thread.
 */
public final class CrashSuspects {

	/** Number of crashes after which a request is refused. */
	static final int MAX_CRASHES = 2;

	private static final long SUSPICION_TTL_NANOS = 60_000_000_000L;

	private static final int MAX_SUSPECTS = 256;

	private final PeerUsage peers;

	private final Map<Long, Suspicion> suspicions = new HashMap<>();

	/**
	 * Creates an instance without suspects.
	 * @param peers the reports of the other daemons, which include the crashes that they
	 * detected
	 */
	public CrashSuspects(PeerUsage peers) {
		this.peers = peers;
	}

	/**
	 * Records that a server crashed while it was running a request.
	 * @param fingerprint the hash of method, target, key and body, as returned by
	 * {@link ExchangeContext#fingerprint()}
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	void recordCrash(long fingerprint, long nowNanos) {
		expire(nowNanos);
		if (this.suspicions.size() < MAX_SUSPECTS) {
			this.suspicions.merge(fingerprint, new Suspicion(1, nowNanos),
					(previous, latest) -> new Suspicion(previous.crashes + 1, nowNanos));
		}
	}

	/**
	 * Clears a request that was completed.
	 * @param fingerprint the hash of method, target, key and body
	 */
	void clear(long fingerprint) {
		this.suspicions.remove(fingerprint);
	}

	/**
	 * Returns whether a request must be refused.
	 * @param fingerprint the hash of method, target, key and body
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return whether it was running at too many crashes
	 */
	boolean refuses(long fingerprint, long nowNanos) {
		expire(nowNanos);
		Suspicion own = this.suspicions.get(fingerprint);
		int crashes = (own != null) ? own.crashes : 0;
		return crashes + this.peers.crashesSeenByPeers(fingerprint) >= MAX_CRASHES;
	}

	/**
	 * Returns the crashes that this daemon has detected and that have not expired.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the number of crashes by request fingerprint
	 */
	public Map<Long, Integer> crashes(long nowNanos) {
		expire(nowNanos);
		Map<Long, Integer> crashes = new HashMap<>();
		this.suspicions.forEach((fingerprint, suspicion) -> crashes.put(fingerprint, suspicion.crashes));
		return crashes;
	}

	private void expire(long nowNanos) {
		this.suspicions.values().removeIf((suspicion) -> nowNanos - suspicion.lastCrashNanos > SUSPICION_TTL_NANOS);
	}

	private record Suspicion(int crashes, long lastCrashNanos) {

	}

}
