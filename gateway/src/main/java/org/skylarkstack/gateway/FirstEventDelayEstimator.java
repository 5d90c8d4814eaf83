package org.skylarkstack.gateway;

/**
 * Estimates how long it takes from the admission of a stream to its first event, so that
 * nearly all streams that are admitted in time also begin in time.
 */
final class FirstEventDelayEstimator {

	private static final double SMOOTHING = 0.05;

	// Two mean deviations above the mean: about nine in ten streams take less.
	private static final double ALLOWED_DEVIATIONS = 2.0;

	private double meanMillis = 200;

	private double deviationMillis = 40;

	/**
	 * Takes note of a start.
	 * @param millis the time from admission to the first event, in milliseconds
	 */
	void update(long millis) {
		double error = millis - this.meanMillis;
		this.meanMillis += SMOOTHING * error;
		this.deviationMillis += SMOOTHING * (Math.abs(error) - this.deviationMillis);
	}

	/**
	 * Returns the time to allow for.
	 * @return the time in milliseconds
	 */
	long allowanceMillis() {
		return (long) (this.meanMillis + ALLOWED_DEVIATIONS * this.deviationMillis);
	}

}
