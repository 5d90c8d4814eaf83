package org.skylarkstack.request;

/**
 * Determines which incarnations of daemons are dead.
 */
@FunctionalInterface
public interface DeadIncarnations {

	/**
	 * Returns whether membership regards an incarnation as dead, that is, removed or
	 * replaced by a new incarnation of the same VM.
	 * @param vmId the VM
	 * @param incarnation the random number that the daemon drew at its start
	 * @return whether it is dead
	 */
	boolean isDead(String vmId, long incarnation);

}
