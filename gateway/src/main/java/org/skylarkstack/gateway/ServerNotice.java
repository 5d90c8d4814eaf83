package org.skylarkstack.gateway;

/**
 * What a backend server states about itself in the head of a response.
 *
 * @param leaving whether it leaves and must get no new requests
 * @param limitPerSecond the requests a second that it takes from all daemons together;
 * infinite if it names no limit, NaN if what it names cannot be read
 */
public record ServerNotice(boolean leaving, double limitPerSecond) {

	/**
	 * Creates a notice.
	 */
	public ServerNotice {
		if (limitPerSecond < 0) {
			throw new IllegalArgumentException("a limit is negative: " + limitPerSecond);
		}
	}

}
