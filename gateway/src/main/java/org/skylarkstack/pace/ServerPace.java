package org.skylarkstack.pace;

/**
 * Estimate of how long work takes at one backend server, as a multiple of the usual time.
 *
 * <p>
 * A server that shares its machine is slowed down for some hundred milliseconds at a
 * time, many times a minute, while the speed of the machine itself does not change. A
 * stated value is therefore used while it is recent; later the estimate returns to the
 * mean of the values that this server has stated. Confined to one thread.
 */
public final class ServerPace {

	/** Pace of a server that has stated none. */
	public static final double USUAL = 1;

	// Mean time for which a value holds.
	private static final double DECAY_NANOS = 600_000_000.0;

	// Without a value for this time, the server may be another one or its statement may
	// have ended.
	private static final long EXPIRY_NANOS = 10_000_000_000L;

	private static final double SMOOTHING = 0.1;

	private boolean stated;

	private double latest = USUAL;

	private double mean = USUAL;

	private int count;

	private long statedNanos;

	private double own = Double.NaN;

	private long ownNanos;

	/**
	 * Records the value that the server states in a response to this daemon.
	 * @param value the time that work takes, as a multiple of the usual time
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void record(double value, long nowNanos) {
		this.own = value;
		this.ownNanos = nowNanos;
		recordReported(value, nowNanos);
	}

	/**
	 * Returns the value that the server has stated to this daemon, to be reported to
	 * other daemons.
	 * @param sinceNanos the earliest time of the statement, as monotonic time in
	 * nanoseconds
	 * @return the multiple of the usual time, or NaN if none has been stated since then
	 */
	public double statedSince(long sinceNanos) {
		return (!Double.isNaN(this.own) && this.ownNanos - sinceNanos >= 0) ? this.own : Double.NaN;
	}

	/**
	 * Records the value that the server has stated to another daemon.
	 * @param value the time that work takes, as a multiple of the usual time
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void recordReported(double value, long nowNanos) {
		if (!isStated(nowNanos)) {
			this.count = 0;
		}
		this.count++;
		this.mean = (this.count == 1) ? value : this.mean + Math.max(SMOOTHING, 1.0 / this.count) * (value - this.mean);
		this.latest = value;
		this.statedNanos = nowNanos;
		this.stated = true;
	}

	/**
	 * Returns whether the server states how long work takes.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return whether it has done so recently
	 */
	public boolean isStated(long nowNanos) {
		return this.stated && nowNanos - this.statedNanos < EXPIRY_NANOS;
	}

	/**
	 * Returns how long work is expected to take that is sent now.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the multiple of the usual time, {@link #USUAL} if none is stated
	 */
	public double expected(long nowNanos) {
		if (!isStated(nowNanos)) {
			return USUAL;
		}
		double weight = Math.exp(-Math.max(0, nowNanos - this.statedNanos) / DECAY_NANOS);
		return this.mean + weight * (this.latest - this.mean);
	}

}
