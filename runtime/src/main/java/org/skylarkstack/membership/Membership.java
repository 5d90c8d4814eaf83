package org.skylarkstack.membership;

/**
 * Provides the current membership view of this daemon.
 */
public interface Membership {

	/**
	 * Returns the current view.
	 * @return the live members, including this daemon
	 */
	MembershipView view();

	/**
	 * Returns this daemon's incarnation.
	 * @return the random number that identifies this process
	 */
	long incarnation();

	/**
	 * Returns whether an incarnation of a VM is dead: removed from membership, or
	 * replaced by a new incarnation of the same VM.
	 * @param vmId the VM
	 * @param incarnation the incarnation
	 * @return whether it is known to be dead; {@code false} if that is unknown
	 */
	boolean isDead(String vmId, long incarnation);

}
