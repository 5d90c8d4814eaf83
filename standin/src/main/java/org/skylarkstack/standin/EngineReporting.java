package org.skylarkstack.standin;

/**
 * Quality of what a stand-in engine reports about itself.
 *
 * @param loadLagMillis the age of load reports in milliseconds
 * @param cacheEventLagMillis the delay of cache events in milliseconds
 * @param cacheEventLoss the share of cache events that are lost, which leaves a gap in
 * the sequence numbers
 */
public record EngineReporting(int loadLagMillis, int cacheEventLagMillis, double cacheEventLoss) {

	/** Usual figures. */
	public static final EngineReporting DEFAULT = new EngineReporting(200, 300, 0.01);

}
