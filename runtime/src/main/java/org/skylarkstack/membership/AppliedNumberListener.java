package org.skylarkstack.membership;

/**
 * Listener for the applied ticket numbers that peers report.
 */
@FunctionalInterface
public interface AppliedNumberListener {

	/**
	 * Handles a peer's report.
	 * @param vmId the VM of the peer
	 * @param incarnation the incarnation of the peer
	 * @param appliedNumber the number up to which it has applied all tickets
	 * @param nowNanos the time at which the report arrived, in this VM's monotonic time
	 * in nanoseconds
	 */
	void applied(String vmId, long incarnation, long appliedNumber, long nowNanos);

}
