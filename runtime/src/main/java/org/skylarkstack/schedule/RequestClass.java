package org.skylarkstack.schedule;

/**
 * Urgency of a request. Earlier classes precede later ones.
 */
public enum RequestClass {

	/** Someone waits for the first token. */
	INTERACTIVE,

	/** The answer is due by a deadline hours away. */
	BATCH;

	/**
	 * Returns whether requests of this class may wait in the queue past the first-token
	 * target.
	 * @return whether they may wait
	 */
	public boolean mayWait() {
		return this == BATCH;
	}

}
