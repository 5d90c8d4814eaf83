package org.skylarkstack.request;

/**
 * Order of a graceful shutdown. It never goes back to an earlier phase.
 */
public final class ShutdownSequence {

	private final long releaseNanos;

	private final long drainNanos;

	private final long endNanos;

	private long startNanos;

	private Phase phase = Phase.SERVING;

	/**
	 * Creates a sequence.
	 * @param releaseNanos how long requests are accepted after readiness ended, until the
	 * balancer has let go
	 * @param drainNanos the bound for finishing requests after that
	 * @param endNanos the bound for telling the remaining callers
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
	 * Moves on as far as time and open requests allow.
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
	 * Returns the present phase.
	 * @return the phase
	 */
	public synchronized Phase phase() {
		return this.phase;
	}

	/**
	 * Phases of a shutdown.
	 */
	public enum Phase {

		/** Requests are accepted, and the balancer is told so. */
		SERVING,

		/** The balancer is told to let go; requests are still accepted. */
		RELEASING,

		/** New requests are refused; open ones finish. */
		DRAINING,

		/** Open requests are ended with an explicit error. */
		ENDING,

		/** Nothing is open, or the last bound has passed. */
		STOPPED;

		/**
		 * Returns whether the balancer may send requests here.
		 * @return whether the daemon is ready
		 */
		public boolean ready() {
			return this == SERVING;
		}

	}

}
