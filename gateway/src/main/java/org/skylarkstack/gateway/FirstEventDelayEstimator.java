package org.skylarkstack.gateway;

/**
 * Estimates the delay between the admission of a stream and its first event. The queue
 * subtracts the estimate from the latency target, so that nearly all streams that are
 * admitted in time also begin in time.
 */
final class FirstEventDelayEstimator {

	// About nine in ten streams have a shorter delay.
	private static final double ALLOWED_DEVIATIONS = 2.0;

	private final DelayStatistics millis = new DelayStatistics(200, 40);

	/**
	 * Updates the estimate with the delay of a stream.
	 * @param delayMillis the time from admission to the first event, in milliseconds
	 */
	void update(long delayMillis) {
		this.millis.update(delayMillis);
	}

	/**
	 * Returns the delay to allow for.
	 * @return the mean delay plus a margin, in milliseconds
	 */
	long allowanceMillis() {
		return (long) this.millis.upper(ALLOWED_DEVIATIONS);
	}

}
