package org.skylarkstack.bench.slope;

/**
 * One measured point.
 *
 * @param quantity the varied quantity
 * @param repeat the number of the repetition, from 0
 * @param value the measured cost
 */
public record SlopePoint(double quantity, int repeat, double value) {

}
