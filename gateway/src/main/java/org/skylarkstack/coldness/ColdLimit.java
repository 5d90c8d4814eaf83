package org.skylarkstack.coldness;

import org.skylarkstack.share.LimitShare;
import org.skylarkstack.share.LimitShares;
import org.skylarkstack.share.ShareBucket;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * This daemon's share of the requests that one server tolerates while it is cold.
 *
 * <p>
 * The server states the remaining cold time in its entry and in responses. Until its end,
 * the daemons that rank first for the server send equal parts of the tolerated rate. In
 * the second after it they return to normal use step by step. A reserved request is taken
 * from the share when it is sent, and no other request is sent before it, so that
 * requests that were reserved at different times cannot be sent together.
 *
 * <p>
 * The limit is designed for up to 73 daemons that have requests waiting and send them as
 * soon as they may, and for daemons that restart together: a daemon that does not know
 * all others yet sends nothing to a cold server. Confined to one thread.
 */
public final class ColdLimit {

	private static final Logger log = LoggerFactory.getLogger(ColdLimit.class);

	private static final double NANOS_PER_SECOND = 1e9;

	private static final long NANOS_PER_MILLI = 1_000_000;

	// A rank is computed from the names of all daemons, for each candidate of a request.
	private static final long SHARE_VALIDITY_NANOS = 200_000_000L;

	private final String server;

	private final String service;

	private final LimitShares shares;

	private final ColdPolicies policies;

	private final ShareBucket bucket = new ShareBucket();

	private boolean stated;

	private long endNanos;

	private LimitShare share = LimitShare.NONE;

	private long shareUntilNanos;

	private int reserved;

	// Reserved requests that were taken from the share when they were reserved.
	private int reservedTaken;

	/**
	 * Creates the limit of a server that is not cold.
	 * @param server the identifier of the server
	 * @param service the service of the server
	 * @param shares divides the limits of servers among the daemons
	 * @param policies the policies of all services
	 */
	public ColdLimit(String server, String service, LimitShares shares, ColdPolicies policies) {
		this.server = server;
		this.service = service;
		this.shares = shares;
		this.policies = policies;
	}

	/**
	 * Sets the remaining cold time that the entry of the server states.
	 * @param remainingMillis the time in milliseconds, 0 if the server is warm
	 * @param receivedNanos when the entry was received, as monotonic time in nanoseconds
	 */
	public void announce(long remainingMillis, long receivedNanos) {
		if (remainingMillis > 0) {
			setEnd(remainingMillis, receivedNanos);
		}
		else if (this.stated && this.endNanos - receivedNanos > 0) {
			this.endNanos = receivedNanos;
		}
	}

	/**
	 * Extends the cold time to what a response of the server states. A response may have
	 * been written before the latest entry, so it never shortens the cold time.
	 * @param remainingMillis the time in milliseconds
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void extend(long remainingMillis, long nowNanos) {
		boolean later = !this.stated || nowNanos + remainingMillis * NANOS_PER_MILLI - this.endNanos > 0;
		if (remainingMillis > 0 && later) {
			setEnd(remainingMillis, nowNanos);
		}
	}

	private void setEnd(long remainingMillis, long nowNanos) {
		boolean begins = !this.stated || this.endNanos - nowNanos <= 0;
		this.stated = true;
		this.endNanos = nowNanos + remainingMillis * NANOS_PER_MILLI;
		if (begins) {
			this.bucket.setRate(0, nowNanos);
			updateShare(nowNanos);
			this.bucket.start(this.share.phase(), nowNanos);
			if (phase(nowNanos) == ColdPhase.COLD) {
				updateRate(ColdPhase.COLD, nowNanos);
			}
			log.atInfo()
				.addKeyValue("event", "server-cold")
				.addKeyValue("server", this.server)
				.addKeyValue("forMs", remainingMillis)
				.log();
		}
	}

	private ColdPolicy policy() {
		return this.policies.of(this.service);
	}

	private ColdPhase phase(long nowNanos) {
		ColdPolicy policy = policy();
		if (!this.stated || !policy.isEnabled() || Double.isInfinite(policy.perSecond())) {
			return ColdPhase.WARM;
		}
		if (this.endNanos - nowNanos > 0) {
			return ColdPhase.COLD;
		}
		return (nowNanos - this.endNanos < ColdPhase.WARMING_NANOS) ? ColdPhase.WARMING : ColdPhase.WARM;
	}

	private void updateShare(long nowNanos) {
		boolean complete = this.shares.isComplete(nowNanos);
		int maxParts = this.policies.bounds().maxParts(policy().perSecond());
		this.share = complete ? this.shares.of(this.server, maxParts, nowNanos) : LimitShare.NONE;
		this.shareUntilNanos = nowNanos + (complete ? SHARE_VALIDITY_NANOS : 0);
	}

	private void updateRate(ColdPhase phase, long nowNanos) {
		if (this.shareUntilNanos - nowNanos <= 0) {
			updateShare(nowNanos);
		}
		ColdBounds bounds = this.policies.bounds();
		double perSecond = policy().perSecond();
		this.bucket.setRate(
				phase.rate(bounds.rate(perSecond), bounds.maxParts(perSecond), this.share, nowNanos - this.endNanos),
				nowNanos);
	}

	/**
	 * Returns how much longer the server stays cold.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the time in nanoseconds, 0 if it is not cold
	 */
	public long remainingNanos(long nowNanos) {
		return (this.stated && policy().isEnabled()) ? Math.max(0, this.endNanos - nowNanos) : 0;
	}

	/**
	 * Returns when this daemon may send a request to the server.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the time until then in nanoseconds, 0 for now
	 */
	public long waitNanos(long nowNanos) {
		ColdPhase phase = phase(nowNanos);
		return (phase == ColdPhase.COLD && this.reserved > 0) ? this.endNanos - nowNanos : waitNanos(phase, nowNanos);
	}

	// The next phase begins at the end of the cold time, and a second later.
	private long waitNanos(ColdPhase phase, long nowNanos) {
		if (phase == ColdPhase.WARM) {
			return 0;
		}
		updateRate(phase, nowNanos);
		double untilRequest = this.bucket.waitNanos(nowNanos);
		if (untilRequest == 0) {
			return 0;
		}
		long phaseEndNanos = this.endNanos + ((phase == ColdPhase.COLD) ? 0 : ColdPhase.WARMING_NANOS);
		return (long) Math.max(1, Math.min(Math.ceil(untilRequest), phaseEndNanos - nowNanos));
	}

	/**
	 * Returns when some daemon may send a request to the server.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the expected time until then in nanoseconds, 0 for now
	 */
	public long fleetWaitNanos(long nowNanos) {
		long ownWaitNanos = waitNanos(nowNanos);
		return (ownWaitNanos == 0) ? 0 : (long) Math.min(ownWaitNanos, NANOS_PER_SECOND / policy().perSecond());
	}

	/**
	 * Takes one request that is sent now, also if none is available.
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void take(long nowNanos) {
		ColdPhase phase = phase(nowNanos);
		if (phase != ColdPhase.WARM) {
			updateRate(phase, nowNanos);
			this.bucket.take(nowNanos);
		}
	}

	/**
	 * Reserves a request that will be sent later.
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void reserve(long nowNanos) {
		this.reserved++;
		if (phase(nowNanos) == ColdPhase.WARMING) {
			this.reservedTaken++;
			take(nowNanos);
		}
	}

	/**
	 * Returns whether a reserved request may be sent now. A server may have become cold
	 * since the request was reserved.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return whether it is within the share
	 */
	public boolean maySendReserved(long nowNanos) {
		ColdPhase phase = phase(nowNanos);
		return phase != ColdPhase.COLD || waitNanos(phase, nowNanos) == 0;
	}

	/**
	 * Records that a reserved request is sent.
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void sendReserved(long nowNanos) {
		this.reserved--;
		this.reservedTaken = Math.max(0, this.reservedTaken - 1);
		if (phase(nowNanos) == ColdPhase.COLD) {
			take(nowNanos);
		}
	}

	/** Takes back a reservation whose request is not sent. */
	public void cancelReserved() {
		this.reserved--;
		if (this.reservedTaken > 0) {
			this.reservedTaken--;
			this.bucket.giveBack();
		}
	}

}
