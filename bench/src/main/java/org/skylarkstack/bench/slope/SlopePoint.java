package org.skylarkstack.bench.slope;

/**
 * One measured point.
 *
 * @param quantity the varied quantity
 * @param repeat the number of the repeat
 * @param value the measured cost
 */
public record SlopePoint(double quantity, int repeat, double value) {

}
