package org.skylarkstack.coldness;

/**
 * Cost of sending a request to a cold server, in comparisons of servers by cost.
 */
public final class ColdCost {

	// Exceeds the cost of any load and the penalty for recent failures, but not the cost
	// of a server that is avoided.
	private static final double COLD = 500;

	private static final double NANOS_PER_SECOND = 1e9;

	// Keeps the sum below the cost of a server that is avoided.
	private static final double MAX_SECONDS = 400;

	private ColdCost() {
	}

	/**
	 * Returns the cost of a server.
	 * @param remainingNanos how much longer it stays cold, in nanoseconds; 0 if it is not
	 * cold
	 * @return 0 if it is not cold, otherwise a cost that grows with the remaining time
	 */
	public static double of(long remainingNanos) {
		return (remainingNanos <= 0) ? 0 : COLD + Math.min(MAX_SECONDS, remainingNanos / NANOS_PER_SECOND);
	}

}
