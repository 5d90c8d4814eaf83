package org.skylarkstack.coldness;

/**
 * Configuration of a service whose servers are slow for some time after their start.
 *
 * @param startSeconds how long a server that has just started is slow, in seconds; 0 if
 * the servers of the service are never cold
 * @param perSecond the requests per second that a cold server tolerates from all daemons
 * together; infinite if it tolerates any number
 */
public record ColdPolicy(double startSeconds, double perSecond) {

	/** Policy of a service whose servers are never cold. */
	public static final ColdPolicy NONE = new ColdPolicy(0, Double.POSITIVE_INFINITY);

	/**
	 * Creates a policy.
	 */
	public ColdPolicy {
		if (!(startSeconds >= 0 && perSecond >= 0)) {
			throw new IllegalArgumentException("not a policy: %s, %s".formatted(startSeconds, perSecond));
		}
	}

	/**
	 * Returns whether servers can be cold.
	 * @return whether the remaining cold time that a server states counts
	 */
	public boolean isEnabled() {
		return this.startSeconds > 0;
	}

}
