package org.skylarkstack.http;

/**
 * Connection of a caller while its request is processed.
 */
@FunctionalInterface
interface CallerConnection {

	/**
	 * Returns whether the caller has closed its connection.
	 * @return whether the connection is closed
	 */
	boolean isDisconnected();

}
