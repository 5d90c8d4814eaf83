package org.skylarkstack.hedging;

import java.util.Locale;

/**
 * Outcomes of a second attempt.
 */
public enum SecondAttemptOutcome {

	/** Its response was relayed to the caller. */
	WON,

	/**
	 * It was cancelled, or not used, because another attempt was answered before or the
	 * request ended.
	 */
	LOST,

	/** It was refused, failed, or got a server error that was not relayed. */
	FAILED;

	/**
	 * Returns the name of the outcome in logs and metrics.
	 * @return the name in lower case
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
