package org.skylarkstack.request;

/**
 * Advances through the phases of a graceful shutdown and never returns to an earlier one.
 */
public final class ShutdownSequence {

	private final long releaseNanos;

	private final long drainNanos;

	private final long endNanos;

	private long startNanos;

	private Phase phase = Phase.SERVING;

	/**
	 * Creates a sequence.
	 * @param releaseNanos how long requests are still accepted after the daemon stops
	 * reporting ready, so that the load balancer can take it out, in nanoseconds
	 * @param drainNanos the time limit for finishing open requests after that, in
	 * nanoseconds
	 * @param endNanos the time limit for sending an error to the remaining callers, in
	 * nanoseconds
	 */
	public ShutdownSequence(long releaseNanos, long drainNanos, long endNanos) {
		this.releaseNanos = releaseNanos;
		this.drainNanos = drainNanos;
		this.endNanos = endNanos;
	}

	/**
	 * Begins the shutdown.
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public synchronized void begin(long nowNanos) {
		if (this.phase == Phase.SERVING) {
			this.phase = Phase.RELEASING;
			this.startNanos = nowNanos;
		}
	}

	/**
	 * Advances as far as the time and the number of open requests allow.
	 * @param openRequests the number of open requests
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the phase
	 */
	public synchronized Phase poll(int openRequests, long nowNanos) {
		long elapsed = nowNanos - this.startNanos;
		if (this.phase == Phase.RELEASING && elapsed >= this.releaseNanos) {
			this.phase = Phase.DRAINING;
		}
		if (this.phase == Phase.DRAINING) {
			if (openRequests == 0) {
				this.phase = Phase.STOPPED;
			}
			else if (elapsed >= this.releaseNanos + this.drainNanos) {
				this.phase = Phase.ENDING;
			}
		}
		if (this.phase == Phase.ENDING
				&& (openRequests == 0 || elapsed >= this.releaseNanos + this.drainNanos + this.endNanos)) {
			this.phase = Phase.STOPPED;
		}
		return this.phase;
	}

	/**
	 * Returns the time until open requests are ended.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the time in nanoseconds; {@link Long#MAX_VALUE} before the shutdown
	 */
	public synchronized long remainingNanos(long nowNanos) {
		return switch (this.phase) {
			case SERVING -> Long.MAX_VALUE;
			case RELEASING, DRAINING -> Math.max(0, this.startNanos + this.releaseNanos + this.drainNanos - nowNanos);
			case ENDING, STOPPED -> 0;
		};
	}

	/**
	 * Returns the current phase.
	 * @return the phase
	 */
	public synchronized Phase phase() {
		return this.phase;
	}

	/**
	 * Phases of a shutdown.
	 */
	public enum Phase {

		/** The daemon reports ready and accepts requests. */
		SERVING,

		/** The daemon reports not ready but still accepts requests. */
		RELEASING,

		/** New requests are refused; open requests finish. */
		DRAINING,

		/** Open requests are ended with an explicit error. */
		ENDING,

		/** No request is open, or the last time limit has passed. */
		STOPPED;

		/**
		 * Returns whether the load balancer may send requests to this daemon.
		 * @return whether the daemon is ready
		 */
		public boolean ready() {
			return this == SERVING;
		}

		/**
		 * Returns whether the daemon refuses new requests.
		 * @return whether the time for the load balancer is over
		 */
		boolean refusesNew() {
			return compareTo(RELEASING) > 0;
		}

	}

}
