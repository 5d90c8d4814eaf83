package org.skylarkstack.share;

/**
 * Token bucket of one daemon for one server. It holds at most one request, so that
 * daemons that were idle cannot send more than one each at the same time. Confined to one
 * thread.
 */
public final class ShareBucket {

	private static final double NANOS_PER_SECOND = 1e9;

	private double perSecond;

	private double level;

	private long updatedNanos;

	/**
	 * Sets the level of the bucket.
	 * @param initialLevel the part of a request that is available, at most 1
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void start(double initialLevel, long nowNanos) {
		this.level = initialLevel;
		this.updatedNanos = nowNanos;
	}

	/**
	 * Sets the rate at which the bucket fills from now on.
	 * @param rate the rate in requests per second
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void setRate(double rate, long nowNanos) {
		advance(nowNanos);
		this.perSecond = rate;
	}

	private void advance(long nowNanos) {
		double gained = Math.max(0, nowNanos - this.updatedNanos) / NANOS_PER_SECOND * this.perSecond;
		this.level = Math.min(1, this.level + gained);
		this.updatedNanos = nowNanos;
	}

	/**
	 * Returns the level of the bucket.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the part of a request that is available, at most 1
	 */
	public double level(long nowNanos) {
		advance(nowNanos);
		return this.level;
	}

	/**
	 * Returns when a request is available at the current rate.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the time until then in nanoseconds, 0 for now, infinite for never
	 */
	public double waitNanos(long nowNanos) {
		double missing = 1 - level(nowNanos);
		return (missing <= 0) ? 0 : missing / this.perSecond * NANOS_PER_SECOND;
	}

	/**
	 * Takes one request, also if none is available.
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void take(long nowNanos) {
		advance(nowNanos);
		this.level--;
	}

	/** Gives back a request that was taken and not sent. */
	public void giveBack() {
		this.level = Math.min(1, this.level + 1);
	}

}
