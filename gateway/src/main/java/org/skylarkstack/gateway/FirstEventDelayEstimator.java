package org.skylarkstack.gateway;

/**
 * Estimates the delay between the admission of a stream and its first event. The queue
 * subtracts the estimate from the latency target, so that nearly all streams that are
 * admitted in time also begin in time.
 */
final class FirstEventDelayEstimator {

	private static final double SMOOTHING = 0.05;

	// Two mean deviations above the mean; about nine in ten streams have a shorter delay.
	private static final double ALLOWED_DEVIATIONS = 2.0;

	private double meanMillis = 200;

	private double deviationMillis = 40;

	/**
	 * Updates the estimate with the delay of a stream.
	 * @param millis the time from admission to the first event, in milliseconds
	 */
	void update(long millis) {
		double error = millis - this.meanMillis;
		this.meanMillis += SMOOTHING * error;
		this.deviationMillis += SMOOTHING * (Math.abs(error) - this.deviationMillis);
	}

	/**
	 * Returns the delay to allow for.
	 * @return the mean delay plus a margin, in milliseconds
	 */
	long allowanceMillis() {
		return (long) (this.meanMillis + ALLOWED_DEVIATIONS * this.deviationMillis);
	}

}
