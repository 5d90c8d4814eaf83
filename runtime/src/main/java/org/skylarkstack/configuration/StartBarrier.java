package org.skylarkstack.configuration;

import java.util.HashMap;
import java.util.Map;

/**
 * Decides when a starting daemon may put the tickets that it read from the store into
 * force. The platform may restore the store from a copy that is some seconds old; the
 * running daemons know the tickets that it has lost, such as the withdrawal of a key.
 *
 * <p>
 * Cases:
 * <ul>
 * <li>No peers: immediately.</li>
 * <li>Half of the peers have reported, and none of them a higher number than the store's:
 * immediately.</li>
 * <li>A peer has reported a higher number: the daemon waits for the missing tickets,
 * which it pulls from peers, for at most ten heartbeat periods.</li>
 * <li>Too few peers have reported: after three heartbeat periods, within which each
 * reachable peer sends a heartbeat.</li>
 * </ul>
 * Thread-safe.
 */
public final class StartBarrier {

	private static final int PERIODS_UNTIL_REPORTS = 3;

	private static final int PERIODS_UNTIL_TICKETS = 10;

	private final Map<String, Long> reports = new HashMap<>();

	private final int peers;

	private final long periodNanos;

	private final long startNanos;

	/**
	 * Creates a barrier.
	 * @param peers the number of peers in the settings
	 * @param periodNanos the heartbeat period in nanoseconds
	 * @param startNanos the monotonic time of the start in nanoseconds
	 */
	public StartBarrier(int peers, long periodNanos, long startNanos) {
		this.peers = peers;
		this.periodNanos = periodNanos;
		this.startNanos = startNanos;
	}

	/**
	 * Records the applied number in a peer's heartbeat.
	 * @param vmId the VM of the peer
	 * @param number the number up to which the peer has applied all tickets
	 */
	synchronized void report(String vmId, long number) {
		this.reports.put(vmId, number);
	}

	/**
	 * Returns whether the tickets in the store may come into force.
	 * @param storedNumber the number of the last ticket in the store
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return whether the daemon need not wait any longer
	 */
	synchronized boolean permits(long storedNumber, long nowNanos) {
		boolean behind = this.reports.values().stream().anyMatch((number) -> number > storedNumber);
		boolean enough = this.reports.size() >= (this.peers + 1) / 2;
		if (enough && !behind) {
			return true;
		}
		int periods = behind ? PERIODS_UNTIL_TICKETS : PERIODS_UNTIL_REPORTS;
		return nowNanos - this.startNanos >= periods * this.periodNanos;
	}

}
