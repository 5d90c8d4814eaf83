package org.skylarkstack.gateway;

/**
 * Time that a stopping daemon has left to complete requests. Confined to one thread.
 */
public final class DrainWindow {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private boolean closing;

	private long endNanos;

	/**
	 * Begins the window when the daemon is asked to stop. Has no effect if it has begun
	 * before.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @param durationNanos the time until the remaining requests are ended, in
	 * nanoseconds
	 */
	public void begin(long nowNanos, long durationNanos) {
		if (!this.closing) {
			this.closing = true;
			this.endNanos = nowNanos + durationNanos;
		}
	}

	/**
	 * Returns whether the daemon has been asked to stop.
	 * @return whether the window has begun
	 */
	public boolean isClosing() {
		return this.closing;
	}

	/**
	 * Returns whether the remaining requests must be ended.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return whether the window has ended
	 */
	public boolean hasEnded(long nowNanos) {
		return this.closing && nowNanos - this.endNanos >= 0;
	}

	/**
	 * Returns whether a request can be complete before the daemon ends.
	 * @param requiredMillis the time that the request still needs, in milliseconds
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return whether the daemon is not stopping, or the request fits into the time left
	 */
	boolean permits(long requiredMillis, long nowNanos) {
		return !this.closing || requiredMillis * NANOS_PER_MILLI <= this.endNanos - nowNanos;
	}

}
