package org.skylarkstack.membership;

/**
 * State of a peer in the membership table.
 */
public enum MemberState {

	/**
	 * A heartbeat arrived within the last {@link MembershipTiming#livePeriods()} periods.
	 */
	LIVE,

	/** Heartbeats are missing, but the peer has not been removed. */
	SUSPECT

}
