package org.skylarkstack.bench.slope;

import java.util.List;

import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * Straight line fitted to measured points.
 *
 * @param name what was measured
 * @param quantity the name of the varied quantity
 * @param unit the unit of the cost
 * @param points the measured points
 * @param perUnit the cost of each additional unit of the quantity
 * @param perUnitError the standard error of that slope
 * @param base the cost at quantity 0
 * @param rSquare the share of the variance that the line explains
 */
public record Slope(String name, String quantity, String unit, List<SlopePoint> points, double perUnit,
		double perUnitError, double base, double rSquare) {

	/**
	 * Fits a line by least squares.
	 * @param name what was measured
	 * @param quantity the name of the varied quantity
	 * @param unit the unit of the cost
	 * @param points the measured points
	 * @return the slope
	 */
	public static Slope fit(String name, String quantity, String unit, List<SlopePoint> points) {
		SimpleRegression regression = new SimpleRegression();
		points.forEach((point) -> regression.addData(point.quantity(), point.value()));
		return new Slope(name, quantity, unit, List.copyOf(points), regression.getSlope(), regression.getSlopeStdErr(),
				regression.getIntercept(), regression.getRSquare());
	}

	/**
	 * Returns the cost that the line predicts for a quantity.
	 * @param at the quantity
	 * @return the cost
	 */
	public double at(double at) {
		return this.base + this.perUnit * at;
	}

}
