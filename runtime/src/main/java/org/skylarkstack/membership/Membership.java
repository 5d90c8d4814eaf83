package org.skylarkstack.membership;

/**
 * Present membership view of this daemon.
 */
public interface Membership {

	/**
	 * Returns the present view.
	 * @return the view
	 */
	MembershipView view();

	/**
	 * Returns this daemon's incarnation.
	 * @return the random number of this start
	 */
	long incarnation();

	/**
	 * Returns whether an incarnation of a VM is dead: removed from membership, or
	 * replaced by a new incarnation of the same VM.
	 * @param vmId the VM
	 * @param incarnation the incarnation
	 * @return whether it is dead; {@code false} if it is not known
	 */
	boolean isDead(String vmId, long incarnation);

}
