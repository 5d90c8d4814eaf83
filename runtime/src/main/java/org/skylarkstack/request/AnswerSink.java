package org.skylarkstack.request;

/**
 * Receives the events of an answer for the caller.
 */
public interface AnswerSink {

	/**
	 * Passes one event to the caller.
	 * @param data the JSON payload
	 * @throws CallerGoneException if the caller is gone
	 */
	void event(String data);

}
