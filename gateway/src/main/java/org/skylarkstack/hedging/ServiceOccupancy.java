package org.skylarkstack.hedging;

/**
 * How many of the slots of a service are occupied. Confined to one thread.
 */
public final class ServiceOccupancy {

	// Above this share, the work of second attempts delays other requests: with a few
	// slots at each of a few servers, some server is often full.
	private static final double BUSY_SHARE = 0.7;

	private double load;

	private int slots;

	/**
	 * Adds a server that takes requests.
	 * @param serverLoad the number of requests at the server
	 * @param serverSlots the number of requests that it runs at a time
	 */
	public void add(double serverLoad, int serverSlots) {
		this.load += serverLoad;
		this.slots += serverSlots;
	}

	/**
	 * Returns whether the service is too busy for second attempts.
	 * @return whether most slots are occupied, or there are none
	 */
	public boolean isBusy() {
		return this.load >= BUSY_SHARE * this.slots;
	}

}
