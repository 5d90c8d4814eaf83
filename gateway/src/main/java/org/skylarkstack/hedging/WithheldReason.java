package org.skylarkstack.hedging;

import java.util.Locale;

/**
 * Reasons for which a request gets no second attempt: {@link #LATE} when its first
 * attempt is sent, the others when it has not been answered for longer than usual.
 */
public enum WithheldReason {

	/** The share of the requests that may get a second attempt is used up. */
	SHARE,

	/** The retry budget of the service is used up. */
	RETRY_BUDGET,

	/** Most slots of the service are occupied. */
	BUSY,

	/** No other server is free, unimpaired and states how long work takes. */
	NO_SERVER,

	/** The daemon stops before the second attempt would be complete. */
	STOPPING,

	/** The request is suspected of crashing servers. */
	SUSPECT,

	/** A second attempt would miss the latency target. */
	LATE;

	/**
	 * Returns the name of the reason in metrics.
	 * @return the name in lower case, with hyphens
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
