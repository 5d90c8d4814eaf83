package org.skylarkstack.configuration;

/**
 * Link between heartbeats and tickets.
 */
public interface AppliedNumbers {

	/**
	 * Returns the number that the heartbeats of this daemon carry.
	 * @return the number up to which all tickets are in force here
	 */
	long appliedNumber();

	/**
	 * Takes note of the number in a peer's heartbeat. Does not block.
	 * @param vmId the peer
	 * @param number the number up to which all tickets are in force there
	 * @param nowNanos when the heartbeat arrived
	 */
	void report(String vmId, long number, long nowNanos);

	/**
	 * Forgets a peer that was removed from membership.
	 * @param vmId the peer
	 */
	void forget(String vmId);

}
