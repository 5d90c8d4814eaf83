package org.skylarkstack.gateway;

/**
 * Decides when a daemon may claim a task that another daemon has claimed before: after
 * the other daemon's claim has remained unchanged for longer than the maximum delay after
 * which an engine may still carry out an order of that daemon. The time is measured on
 * this daemon's monotonic clock. The clock stops while the VM is suspended, which can
 * only make the daemon wait longer.
 *
 * <p>
 * A store that has lost recent writes may have lost the latest claim, whoever holds the
 * one that is read. The daemon then waits for as long, from when it first sees the loss.
 */
final class LeadershipTakeover {

	private final long maxOrderDelayNanos;

	private long watchedFencingNumber = -1;

	private long watchedSinceNanos;

	LeadershipTakeover(long maxOrderDelayNanos) {
		this.maxOrderDelayNanos = maxOrderDelayNanos;
	}

	/**
	 * Returns whether a daemon may claim the task, and records when another daemon's
	 * claim was first seen.
	 * @param claim the last claim, as just read
	 * @param self the name of this daemon
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return whether this daemon may claim the task
	 */
	boolean mayClaim(LeadershipClaim claim, String self, long nowNanos) {
		if (claim.era() > 0 && nowNanos - claim.eraSinceNanos() <= this.maxOrderDelayNanos) {
			return false;
		}
		if (claim.fencingNumber() == 0 || claim.holder().equals(self)) {
			return true;
		}
		if (claim.fencingNumber() != this.watchedFencingNumber) {
			this.watchedFencingNumber = claim.fencingNumber();
			this.watchedSinceNanos = nowNanos;
			return false;
		}
		return nowNanos - this.watchedSinceNanos > this.maxOrderDelayNanos;
	}

}
