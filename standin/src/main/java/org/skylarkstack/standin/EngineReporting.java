package org.skylarkstack.standin;

/**
 * Delay and loss of the reports of a stand-in engine.
 *
 * @param loadLagMillis the age of load reports in milliseconds
 * @param cacheEventLagMillis the delay of cache events in milliseconds
 * @param cacheEventLoss the fraction of cache events that are lost; each leaves a gap in
 * the sequence numbers
 */
public record EngineReporting(int loadLagMillis, int cacheEventLagMillis, double cacheEventLoss) {

	/** Default delay and loss. */
	public static final EngineReporting DEFAULT = new EngineReporting(200, 300, 0.01);

}
