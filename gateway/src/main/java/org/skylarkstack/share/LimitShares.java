package org.skylarkstack.share;

import org.skylarkstack.peers.PeerUsage;

/**
 * Divides the limits of backend servers among the daemons, without messages between them:
 * equal parts for the daemons that rank first for a server by a hash. Each part permits
 * one request at once, so the number of parts grows with the limit, and a limit is not
 * exceeded by much when all daemons send at the same time.
 */
public final class LimitShares {

	private static final double PARTS_PER_REQUEST = 1.5;

	private static final double MIN_PARTS = 4;

	private final String vmId;

	private final PeerUsage peers;

	/**
	 * Creates the division for one daemon.
	 * @param vmId the name of its VM
	 * @param peers knows the other daemons
	 */
	public LimitShares(String vmId, PeerUsage peers) {
		this.vmId = vmId;
		this.peers = peers;
	}

	/**
	 * Returns the share of this daemon.
	 * @param server the identifier of the server
	 * @param perSecond the requests a second that the server takes from all daemons
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the share
	 */
	public LimitShare of(String server, double perSecond, long nowNanos) {
		return of(server, (int) Math.min(Integer.MAX_VALUE, MIN_PARTS + PARTS_PER_REQUEST * perSecond), nowNanos);
	}

	/**
	 * Returns the share of this daemon in a limit with a bounded number of parts.
	 * @param server the identifier of the server
	 * @param maxParts the largest number of daemons that have a part
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the share
	 */
	public LimitShare of(String server, int maxParts, long nowNanos) {
		int own = hash(server, this.vmId);
		int daemons = 1;
		int rank = 0;
		for (String peer : this.peers.recentDaemons(nowNanos)) {
			int other = hash(server, peer);
			daemons++;
			rank += (other < own || other == own && peer.compareTo(this.vmId) < 0) ? 1 : 0;
		}
		double trialPhase = (double) rank / daemons;
		int parts = Math.min(daemons, maxParts);
		return (rank < parts) ? new LimitShare(1.0 / parts, (double) rank / parts, trialPhase)
				: new LimitShare(0, 0, trialPhase);
	}

	/**
	 * Returns whether this daemon knows all daemons. Shares that are computed before may
	 * be too large.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return whether the list of daemons has been read and has once not changed for some
	 * seconds
	 */
	public boolean isComplete(long nowNanos) {
		return this.peers.isListComplete(nowNanos);
	}

	// Spreads the similar hash codes of similar names.
	private static int hash(String server, String vmId) {
		int hash = (server + "/" + vmId).hashCode() * 0x9E3779B9;
		return (hash ^ (hash >>> 15)) * 0x85EBCA6B;
	}

}
