package org.skylarkstack.gateway;

/**
 * Time that a stopping daemon has left to complete requests. Confined to one thread.
 */
public final class DrainWindow {

	private static final long NANOS_PER_MILLI = 1_000_000;

	// The load balancer sends new connections for up to three seconds after the signal.
	// The rest allows for a signal that is handled late.
	private static final long RELEASE_NANOS = 2_500_000_000L;

	private boolean closing;

	private long releaseEndNanos;

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
			this.releaseEndNanos = nowNanos + RELEASE_NANOS;
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
	 * Returns whether a request must be certain to be complete before the daemon ends. Up
	 * to the end of the release time an estimate suffices: the load balancer still sends
	 * requests to this daemon, and refusing all of them would cost their callers more
	 * than the few that take longer than estimated.
	 * @param arrivedNanos when the request was completely received, as monotonic time in
	 * nanoseconds
	 * @return whether the request has arrived after the release time of a stop
	 */
	boolean requiresCertainty(long arrivedNanos) {
		return this.closing && arrivedNanos - this.releaseEndNanos >= 0;
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
