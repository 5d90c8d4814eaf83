package org.skylarkstack.membership;

/**
 * Time bounds of membership.
 *
 * @param shortestPeriodNanos the heartbeat period of small fleets in nanoseconds
 * @param nanosPerPeer the part of the period for each peer, which keeps the bytes a
 * second flat as the fleet grows
 * @param livePeriods the heartbeat periods without a heartbeat after which a member is
 * suspect
 * @param listPeriodNanos the time between two readings of the platform's list
 * @param unlistedNanos the silence after which a member that the platform's list never
 * named is removed
 */
public record MembershipTerms(long shortestPeriodNanos, long nanosPerPeer, int livePeriods, long listPeriodNanos,
		long unlistedNanos) {

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	/** Default terms: 1 s for up to 58 VMs, 6 s for 350. */
	public static final MembershipTerms DEFAULT = new MembershipTerms(NANOS_PER_SECOND, 6 * NANOS_PER_SECOND / 350, 3,
			5 * NANOS_PER_SECOND, 600 * NANOS_PER_SECOND);

	/**
	 * Returns the heartbeat period.
	 * @param fleetSize the number of VMs, this one included
	 * @return the period in nanoseconds
	 */
	public long periodNanos(int fleetSize) {
		return Math.max(this.shortestPeriodNanos, this.nanosPerPeer * fleetSize);
	}

}
