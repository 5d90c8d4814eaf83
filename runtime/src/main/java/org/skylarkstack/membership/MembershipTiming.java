package org.skylarkstack.membership;

/**
 * Heartbeat period and timeouts of membership.
 *
 * @param shortestPeriodNanos the minimum heartbeat period in nanoseconds, used by small
 * fleets
 * @param nanosPerPeer the heartbeat period per VM in nanoseconds; a period proportional
 * to the fleet size keeps the bytes per second constant as the fleet grows
 * @param livePeriods the number of heartbeat periods without a heartbeat after which a
 * member is suspect
 * @param listPeriodNanos the time between two reads of the platform's VM list in
 * nanoseconds
 * @param unlistedNanos the time without a heartbeat, in nanoseconds, after which a member
 * that the platform's list never contained is removed
 */
public record MembershipTiming(long shortestPeriodNanos, long nanosPerPeer, int livePeriods, long listPeriodNanos,
		long unlistedNanos) {

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	/**
	 * Default values, with a heartbeat period of 1 s for up to 58 VMs and 6 s for 350.
	 */
	public static final MembershipTiming DEFAULT = new MembershipTiming(NANOS_PER_SECOND, 6 * NANOS_PER_SECOND / 350, 3,
			5 * NANOS_PER_SECOND, 600 * NANOS_PER_SECOND);

	/**
	 * Returns the heartbeat period.
	 * @param fleetSize the number of VMs, including this one
	 * @return the period in nanoseconds
	 */
	public long periodNanos(int fleetSize) {
		return Math.max(this.shortestPeriodNanos, this.nanosPerPeer * fleetSize);
	}

}
