package org.skylarkstack.configuration;

/**
 * Provides the applied ticket number for outgoing heartbeats and receives the numbers
 * reported by peers.
 */
public interface AppliedNumbers {

	/**
	 * Returns the applied number that the heartbeats of this daemon carry.
	 * @return the number up to which this daemon has applied all tickets
	 */
	long appliedNumber();

	/**
	 * Records the applied number in a peer's heartbeat. Does not block.
	 * @param vmId the VM of the peer
	 * @param number the number up to which the peer has applied all tickets
	 * @param nowNanos the monotonic time in nanoseconds at which the heartbeat arrived
	 */
	void report(String vmId, long number, long nowNanos);

	/**
	 * Removes the record of a peer that was removed from membership.
	 * @param vmId the VM of the peer
	 */
	void remove(String vmId);

}
