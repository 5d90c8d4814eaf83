package org.skylarkstack.membership;

/**
 * Learns which tickets peers have applied.
 */
@FunctionalInterface
public interface AppliedNumberListener {

	/**
	 * Takes a peer's report.
	 * @param vmId the peer
	 * @param incarnation its incarnation
	 * @param appliedNumber the number up to which it has applied all tickets
	 * @param nowNanos when the report arrived, in this VM's monotonic time
	 */
	void applied(String vmId, long incarnation, long appliedNumber, long nowNanos);

}
