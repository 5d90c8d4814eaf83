package org.skylarkstack.coldness;

/**
 * Bounds of the platform on the requests that a cold server receives from all daemons in
 * any one second: the rate that it tolerates times {@code over}, plus {@code slack}.
 *
 * @param over the factor, at least 1
 * @param slack the number of further requests
 */
public record ColdBounds(double over, double slack) {

	/** Bounds of a platform that states none. */
	public static final ColdBounds DEFAULT = new ColdBounds(1, 0);

	/**
	 * Creates bounds.
	 */
	public ColdBounds {
		if (!(over >= 1 && slack >= 0)) {
			throw new IllegalArgumentException("not bounds: %s, %s".formatted(over, slack));
		}
	}

	/**
	 * Returns how many daemons may have a part of the rate. Each part may have one
	 * request in stock, so the parts and the requests of one second together must not
	 * exceed the bound.
	 * @param perSecond the rate that the server tolerates
	 * @return the number, at least 1
	 */
	int maxParts(double perSecond) {
		if (Double.isInfinite(perSecond)) {
			return Integer.MAX_VALUE;
		}
		double parts = perSecond * (this.over - 1) + this.slack;
		return (int) Math.max(1, Math.min(parts, Integer.MAX_VALUE));
	}

	/**
	 * Returns the rate that is divided among the parts. It is lower than the rate that
	 * the server tolerates if the bounds leave no room for a single part.
	 * @param perSecond the rate that the server tolerates
	 * @return the requests per second of all daemons together
	 */
	double rate(double perSecond) {
		double room = perSecond * this.over + this.slack - maxParts(perSecond);
		return Math.max(0, Math.min(perSecond, room));
	}

}
