package org.skylarkstack.hedging;

import java.util.Arrays;

/**
 * Estimates how long the responses of a route usually take, from sending the request to a
 * server to the complete response: the median, and the median deviation from it. Confined
 * to one thread.
 *
 * <p>
 * Designed for a few responses that take much longer for some hundred milliseconds at a
 * time. Unlike a mean, the median does not grow with them, so that they still count as
 * unusual while there are many. A call that is cancelled counts with the time that it has
 * taken until then, which suffices to place it above the median.
 */
public final class ResponseTimes {

	private static final int MIN_TIMES = 20;

	// A single time moves the estimates by this part of the median deviation. Some
	// hundred times determine them, so that they do not follow a server that is slow
	// for a moment.
	private static final double STEP = 0.02;

	private static final double MIN_DEVIATION_MILLIS = 1;

	private final double[] firstTimes = new double[MIN_TIMES];

	private int count;

	private double medianMillis;

	private double deviationMillis;

	/**
	 * Adds the time of a response, or of a call that was cancelled.
	 * @param millis the time in milliseconds
	 */
	public void record(double millis) {
		if (this.count < MIN_TIMES) {
			this.firstTimes[this.count] = millis;
			this.count++;
			if (this.count == MIN_TIMES) {
				initialize();
			}
			return;
		}
		double step = STEP * this.deviationMillis;
		double error = millis - this.medianMillis;
		this.medianMillis += step * Math.signum(error);
		setDeviation(this.deviationMillis + step * Math.signum(Math.abs(error) - this.deviationMillis));
	}

	private void initialize() {
		this.medianMillis = median(this.firstTimes);
		setDeviation(
				median(Arrays.stream(this.firstTimes).map((time) -> Math.abs(time - this.medianMillis)).toArray()));
	}

	private static double median(double[] values) {
		double[] sorted = values.clone();
		Arrays.sort(sorted);
		return sorted[sorted.length / 2];
	}

	private void setDeviation(double millis) {
		this.deviationMillis = Math.max(MIN_DEVIATION_MILLIS, millis);
	}

	/**
	 * Returns whether there were enough times for an estimate.
	 * @return whether the estimates may be used
	 */
	boolean isKnown() {
		return this.count >= MIN_TIMES;
	}

	/**
	 * Returns a time above the median.
	 * @param deviations the distance from the median in median deviations; half of the
	 * times are within 1
	 * @return the time in milliseconds
	 */
	double millis(double deviations) {
		return this.medianMillis + deviations * this.deviationMillis;
	}

}
