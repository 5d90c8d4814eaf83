package org.skylarkstack.gateway;

import org.skylarkstack.share.LimitShare;
import org.skylarkstack.share.ShareBucket;

/**
 * This daemon's share of the requests a second that a backend server takes from all
 * daemons.
 *
 * <p>
 * A {@link ShareBucket} bounds the requests. A limit holds until a response names none.
 * Because a daemon whose share is small or zero may get no response for long, it sends
 * one request after a minute or more without any, whose response states what holds now.
 * Confined to one thread.
 */
final class ServerLimit {

	/** Minimum time without a response after which a request is sent in any case. */
	static final long MIN_TRIAL_NANOS = 60_000_000_000L;

	private static final double NANOS_PER_SECOND = 1e9;

	private double perSecond = Double.POSITIVE_INFINITY;

	private LimitShare share = LimitShare.NONE;

	private final ShareBucket bucket = new ShareBucket();

	private long trialNanos;

	/**
	 * Returns the limit that holds.
	 * @return the requests a second of all daemons together, infinite if there is none
	 */
	double perSecond() {
		return this.perSecond;
	}

	/**
	 * Sets the limit that a response names.
	 * @param named the requests a second of all daemons together, infinite to end the
	 * limit
	 * @param daemonShare the share of this daemon
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	void name(double named, LimitShare daemonShare, long nowNanos) {
		if (!isLimited()) {
			this.bucket.start(daemonShare.phase(), nowNanos);
		}
		this.perSecond = named;
		this.share = daemonShare;
		if (isLimited()) {
			this.bucket.setRate(named * daemonShare.part(), nowNanos);
		}
		scheduleTrial(nowNanos);
	}

	// The phase keeps daemons that have learned of a limit together from trying together.
	private void scheduleTrial(long nowNanos) {
		this.trialNanos = nowNanos + (long) (MIN_TRIAL_NANOS * (1 + 2 * this.share.trialPhase()));
	}

	private boolean isLimited() {
		return !Double.isInfinite(this.perSecond);
	}

	/**
	 * Returns when a request may be sent.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the time until then in nanoseconds, 0 for now
	 */
	long waitNanos(long nowNanos) {
		if (!isLimited()) {
			return 0;
		}
		double untilRequest = this.bucket.waitNanos(nowNanos);
		if (untilRequest == 0) {
			return 0;
		}
		long untilTrial = Math.max(0, this.trialNanos - nowNanos);
		return (untilRequest < untilTrial) ? Math.max(1, (long) Math.ceil(untilRequest)) : untilTrial;
	}

	/**
	 * Returns when some daemon may send a request.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the expected time until then in nanoseconds, 0 for now
	 */
	long fleetWaitNanos(long nowNanos) {
		return (long) Math.min(waitNanos(nowNanos), NANOS_PER_SECOND / this.perSecond);
	}

	/**
	 * Takes one request, also if none is available.
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	void take(long nowNanos) {
		if (isLimited()) {
			this.bucket.take(nowNanos);
			scheduleTrial(nowNanos);
		}
	}

	/** Gives back a request that was taken and not sent. */
	void giveBack() {
		this.bucket.giveBack();
	}

}
