package org.skylarkstack.gateway;

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
	LimitShare of(String server, double perSecond, long nowNanos) {
		int own = hash(server, this.vmId);
		int daemons = 1;
		int rank = 0;
		for (String peer : this.peers.recentDaemons(nowNanos)) {
			int other = hash(server, peer);
			daemons++;
			rank += (other < own || other == own && peer.compareTo(this.vmId) < 0) ? 1 : 0;
		}
		double trialPhase = (double) rank / daemons;
		int parts = (int) Math.min(daemons, MIN_PARTS + PARTS_PER_REQUEST * perSecond);
		return (rank < parts) ? new LimitShare(1.0 / parts, (double) rank / parts, trialPhase)
				: new LimitShare(0, 0, trialPhase);
	}

	// Spreads the similar hash codes of similar names.
	private static int hash(String server, String vmId) {
		int hash = (server + "/" + vmId).hashCode() * 0x9E3779B9;
		return (hash ^ (hash >>> 15)) * 0x85EBCA6B;
	}

}
