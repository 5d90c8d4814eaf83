package org.skylarkstack.gateway;

/**
 * What a backend server states about itself in the head of a response.
 *
 * @param limitPerSecond the requests a second that it takes from all daemons together;
 * infinite if it names no limit, NaN if what it names cannot be read
 */
public record ServerNotice(double limitPerSecond) {

	/** Notice of a server that states nothing. */
	public static final ServerNotice NONE = new ServerNotice(Double.POSITIVE_INFINITY);

	/**
	 * Creates a notice.
	 */
	public ServerNotice {
		if (limitPerSecond < 0) {
			throw new IllegalArgumentException("a limit is negative: " + limitPerSecond);
		}
	}

}
