package org.skylarkstack.limit;

/**
 * Lease of the rate slot that this VM holds. Times are in this VM's monotonic
 * nanoseconds.
 *
 * @param slot the number of the slot
 * @param usableFromNanos when the loans of the former holder have ended
 * @param endNanos when the lease ends unless it is renewed
 */
public record RateSlotLease(int slot, long usableFromNanos, long endNanos) {

	boolean isUsable(long nowNanos) {
		return nowNanos - this.usableFromNanos >= 0 && nowNanos - this.endNanos < 0;
	}

}
