package org.skylarkstack.gateway;

/**
 * What a backend server states about itself in the head of a response.
 *
 * @param leaving whether it leaves and must get no new requests
 * @param limitPerSecond the requests a second that it takes from all daemons together;
 * infinite if it names no limit, NaN if what it names cannot be read
 * @param pauseMillis how long it wants no requests from this daemon, in milliseconds; 0
 * if it does not ask for a pause
 * @param coldRemainingMillis how much longer it stays cold, in milliseconds; 0 if it is
 * not cold or does not state it
 */
public record ServerNotice(boolean leaving, double limitPerSecond, long pauseMillis, long coldRemainingMillis) {

	/**
	 * Creates a notice of a server that does not state whether it is cold.
	 * @param leaving whether it leaves and must get no new requests
	 * @param limitPerSecond the requests a second that it takes from all daemons together
	 * @param pauseMillis how long it wants no requests from this daemon, in milliseconds
	 */
	public ServerNotice(boolean leaving, double limitPerSecond, long pauseMillis) {
		this(leaving, limitPerSecond, pauseMillis, 0);
	}

	/**
	 * Creates a notice.
	 */
	public ServerNotice {
		if (limitPerSecond < 0 || pauseMillis < 0 || coldRemainingMillis < 0) {
			throw new IllegalArgumentException(
					"negative: %s, %s, %s".formatted(limitPerSecond, pauseMillis, coldRemainingMillis));
		}
	}

}
