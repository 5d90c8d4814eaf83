package org.skylarkstack.gateway;

/**
 * Compares the version of the configuration in force with the versions that peers report,
 * and decides whether the configuration is, or may be, outdated although the store has no
 * newer one: a store that has returned from an older copy has lost the newest versions
 * until the operator writes them again. Confined to one thread.
 *
 * <p>
 * A version that no peer has reported for some seconds is disregarded, so that a corrupt
 * report or the loss of its only sender cannot block this daemon for good.
 */
public final class ConfigurationVersions {

	private static final long REPORT_EXPIRY_NANOS = 10_000_000_000L;

	// Three report periods: a peer that runs has answered by then, even if one
	// datagram was lost.
	private static final long PEER_WAIT_NANOS = 600_000_000L;

	// Bounds the wait for the list of peers, without which no peer can report.
	private static final long LIST_WAIT_NANOS = 3_000_000_000L;

	private static final long MIN_READ_INTERVAL_NANOS = 1_000_000_000L;

	private long inForce;

	private long reported;

	private long reportedNanos;

	private boolean storeRestored;

	private boolean awaitingPeers;

	private long awaitingSinceNanos;

	private boolean peersListed;

	private boolean readRequested;

	private long readRequestedNanos;

	/**
	 * Records that a configuration came into force.
	 * @param version its version
	 */
	void recordApplied(long version) {
		this.inForce = version;
	}

	/**
	 * Records the version that a peer has in force.
	 * @param version the version, or 0 if the peer has none
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return whether the store should be read immediately, because it may already have a
	 * newer version than this daemon
	 */
	public boolean recordReported(long version, long nowNanos) {
		if (version < this.reported && !expired(nowNanos)) {
			return false;
		}
		boolean first = version > this.reported || expired(nowNanos);
		this.reported = version;
		this.reportedNanos = nowNanos;
		boolean readRecently = this.readRequested && nowNanos - this.readRequestedNanos < MIN_READ_INTERVAL_NANOS;
		if (!this.storeRestored || !first || version <= this.inForce || readRecently) {
			return false;
		}
		this.readRequested = true;
		this.readRequestedNanos = nowNanos;
		return true;
	}

	/**
	 * Records that the store has returned from an older copy.
	 * @param awaitPeers whether peers may know a newer version that they have not
	 * reported yet
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void recordStoreRestored(boolean awaitPeers, long nowNanos) {
		this.storeRestored = true;
		this.awaitingPeers = awaitPeers || awaitsPeers(nowNanos);
		this.awaitingSinceNanos = nowNanos;
	}

	/**
	 * Records that the list of peers has been read. Their time to report begins with the
	 * first list.
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void recordPeersListed(long nowNanos) {
		if (!this.peersListed) {
			this.peersListed = true;
			this.awaitingSinceNanos = nowNanos;
		}
	}

	/**
	 * Returns whether peers are still given time to report a newer version.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return whether the version in force may be outdated for this reason
	 */
	public boolean awaitsPeers(long nowNanos) {
		long maxWaitNanos = this.peersListed ? PEER_WAIT_NANOS : LIST_WAIT_NANOS;
		return this.awaitingPeers && nowNanos - this.awaitingSinceNanos < maxWaitNanos;
	}

	/** Records that every other daemon has reported its version. */
	public void recordAllPeersReported() {
		this.awaitingPeers = false;
	}

	/**
	 * Returns whether the store may have lost a version that is newer than the one in
	 * force.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return whether a peer has recently reported a newer version, or is given time to
	 * do so
	 */
	public boolean mayBeOutdated(long nowNanos) {
		boolean outdated = this.reported > this.inForce && !expired(nowNanos);
		return this.storeRestored && (outdated || awaitsPeers(nowNanos));
	}

	/**
	 * Returns the newest known version.
	 * @return the version in force, or a newer one that a peer has reported
	 */
	public long newest() {
		return Math.max(this.inForce, this.reported);
	}

	private boolean expired(long nowNanos) {
		return nowNanos - this.reportedNanos > REPORT_EXPIRY_NANOS;
	}

}
