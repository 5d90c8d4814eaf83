package org.skylarkstack.http;

/**
 * Connection of a caller whose request is being worked on.
 */
@FunctionalInterface
interface CallerConnection {

	/**
	 * Returns whether the caller has closed its connection.
	 * @return whether nobody waits for the answer
	 */
	boolean gone();

}
