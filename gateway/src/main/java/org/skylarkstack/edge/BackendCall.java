package org.skylarkstack.edge;

/**
 * Call of a backend server under way.
 */
public interface BackendCall {

	/** Ends the call by closing its connection. Nothing more is told to the listener. */
	void cancel();

	/**
	 * Returns whether a byte of the request may have left this process.
	 * @return whether it may have been sent
	 */
	boolean sent();

}
