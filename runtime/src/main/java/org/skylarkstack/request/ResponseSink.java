package org.skylarkstack.request;

/**
 * Receives the events of a completion response and passes them to the caller.
 */
public interface ResponseSink {

	/**
	 * Passes one event to the caller.
	 * @param data the JSON payload
	 * @throws CallerDisconnectedException if the caller closed its connection
	 */
	void event(String data);

}
