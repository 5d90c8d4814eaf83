package org.skylarkstack.gateway;

import java.util.HashMap;
import java.util.Map;

import org.skylarkstack.peers.PeerUsage;

/**
 * Requests whose backend server died while running them.
 *
 * <p>
 * All requests of a dead server are suspects, most of them innocent: a success clears a
 * request, and a suspicion ends by itself. A request that was there at too many deaths,
 * by what all daemons have seen, is refused, because it would take down one server after
 * the other. Confined to one thread.
 */
public final class CrashSuspects {

	/** Deaths after which a request is refused. */
	static final int MAX_CRASHES = 2;

	private static final long TERM_NANOS = 60_000_000_000L;

	private static final int MAX_SUSPECTS = 256;

	private final PeerUsage peers;

	private final Map<Long, Suspicion> suspicions = new HashMap<>();

	/**
	 * Creates an empty record.
	 * @param peers what peers have seen
	 */
	public CrashSuspects(PeerUsage peers) {
		this.peers = peers;
	}

	/**
	 * Takes note that a server died while it ran a request.
	 * @param fingerprint identifies requests with the same path, caller and body
	 * @param nowNanos the present time
	 */
	void crashed(long fingerprint, long nowNanos) {
		expire(nowNanos);
		if (this.suspicions.size() < MAX_SUSPECTS) {
			this.suspicions.merge(fingerprint, new Suspicion(1, nowNanos),
					(former, latest) -> new Suspicion(former.crashes + 1, nowNanos));
		}
	}

	/**
	 * Takes note that a request was answered.
	 * @param fingerprint identifies the request
	 */
	void succeeded(long fingerprint) {
		this.suspicions.remove(fingerprint);
	}

	/**
	 * Decides whether a request is refused.
	 * @param fingerprint identifies the request
	 * @param nowNanos the present time
	 * @return whether it was there at too many deaths
	 */
	boolean refuses(long fingerprint, long nowNanos) {
		expire(nowNanos);
		Suspicion own = this.suspicions.get(fingerprint);
		int crashes = (own != null) ? own.crashes : 0;
		return crashes + this.peers.crashesSeenByPeers(fingerprint) >= MAX_CRASHES;
	}

	/**
	 * Returns the deaths that this daemon has seen.
	 * @param nowNanos the present time
	 * @return the number by fingerprint
	 */
	public Map<Long, Integer> crashes(long nowNanos) {
		expire(nowNanos);
		Map<Long, Integer> crashes = new HashMap<>();
		this.suspicions.forEach((fingerprint, suspicion) -> crashes.put(fingerprint, suspicion.crashes));
		return crashes;
	}

	private void expire(long nowNanos) {
		this.suspicions.values().removeIf((suspicion) -> nowNanos - suspicion.sinceNanos > TERM_NANOS);
	}

	private record Suspicion(int crashes, long sinceNanos) {

	}

}
