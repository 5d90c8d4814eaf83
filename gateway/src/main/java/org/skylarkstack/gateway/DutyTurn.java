package org.skylarkstack.gateway;

/**
 * Decides when a daemon may claim a duty that another one claimed before: after it has
 * watched the other's claim unchanged for longer than an order of the other's can be
 * under way. The watch counts on the monotonic clock of this daemon, which stands still
 * while the VM is suspended and so only makes it wait longer.
 */
final class DutyTurn {

	private final long quietNanos;

	private long watchedNumber = -1;

	private long watchedSinceNanos;

	DutyTurn(long quietNanos) {
		this.quietNanos = quietNanos;
	}

	/**
	 * Decides.
	 * @param claim the claim as read now
	 * @param self this daemon
	 * @param nowNanos the present time
	 * @return whether this daemon may claim the duty
	 */
	boolean mayClaim(DutyClaim claim, String self, long nowNanos) {
		if (claim.fencingNumber() == 0 || claim.holder().equals(self)) {
			return true;
		}
		if (claim.fencingNumber() != this.watchedNumber) {
			this.watchedNumber = claim.fencingNumber();
			this.watchedSinceNanos = nowNanos;
			return false;
		}
		return nowNanos - this.watchedSinceNanos > this.quietNanos;
	}

}
