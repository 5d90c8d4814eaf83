package org.skylarkstack.edge;

/**
 * Connection to a backend server that is opened before the request is ready to be sent.
 */
public interface PreparedConnection {

	/**
	 * Returns whether the connection could not be established, or has ended.
	 * @return {@code false} while it is being established or usable
	 */
	boolean hasFailed();

	/** Closes the connection. The listener of its call receives no further events. */
	void cancel();

}
