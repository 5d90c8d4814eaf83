package org.skylarkstack.gateway;

/**
 * Decides when a daemon may claim a duty that another one claimed before: after it has
 * watched the other's claim unchanged for longer than an order of the other's can be
 * under way. The watch counts on the monotonic clock of this daemon, which stands still
 * while the VM is suspended and so only makes it wait longer.
 */
final class DutyTakeover {

	private final long maxOrderDelayNanos;

	private long watchedFencingNumber = -1;

	private long watchedSinceNanos;

	DutyTakeover(long maxOrderDelayNanos) {
		this.maxOrderDelayNanos = maxOrderDelayNanos;
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
		if (claim.fencingNumber() != this.watchedFencingNumber) {
			this.watchedFencingNumber = claim.fencingNumber();
			this.watchedSinceNanos = nowNanos;
			return false;
		}
		return nowNanos - this.watchedSinceNanos > this.maxOrderDelayNanos;
	}

}
