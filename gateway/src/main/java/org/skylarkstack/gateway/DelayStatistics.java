package org.skylarkstack.gateway;

/**
 * Exponentially weighted mean of a quantity and of its deviation from the mean.
 */
final class DelayStatistics {

	private static final double SMOOTHING = 0.05;

	private double mean;

	private double deviation;

	// Number of measurements that the mean contains, until each has the weight SMOOTHING.
	private int count;

	/** Creates statistics without values. */
	DelayStatistics() {
	}

	/**
	 * Creates statistics with initial values.
	 * @param mean the mean before the first measurement
	 * @param deviation the mean deviation before the first measurement
	 */
	DelayStatistics(double mean, double deviation) {
		this.mean = mean;
		this.deviation = deviation;
		this.count = (int) (1 / SMOOTHING);
	}

	/**
	 * Adds a measurement.
	 * @param value the measured value
	 */
	void update(double value) {
		this.count++;
		if (this.count == 1) {
			this.mean = value;
			this.deviation = value / 2;
			return;
		}
		double weight = Math.max(SMOOTHING, 1.0 / this.count);
		double error = value - this.mean;
		this.mean += weight * error;
		this.deviation += weight * (Math.abs(error) - this.deviation);
	}

	/**
	 * Returns a value that few measurements exceed.
	 * @param deviations the distance from the mean in mean deviations
	 * @return the mean plus that many mean deviations
	 */
	double upper(double deviations) {
		return this.mean + deviations * this.deviation;
	}

}
