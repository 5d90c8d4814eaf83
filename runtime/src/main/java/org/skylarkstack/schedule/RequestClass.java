package org.skylarkstack.schedule;

/**
 * Class of a request. An earlier constant has precedence over a later one.
 */
public enum RequestClass {

	/** A user waits for the first token. */
	INTERACTIVE,

	/** The response is due by a deadline that is hours away. */
	BATCH;

	/**
	 * Returns whether requests of this class may stay queued beyond the first-token
	 * target of interactive requests.
	 * @return whether they may stay queued
	 */
	public boolean mayExceedFirstTokenTarget() {
		return this == BATCH;
	}

}
