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

}
