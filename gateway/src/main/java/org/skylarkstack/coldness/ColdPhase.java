package org.skylarkstack.coldness;

import org.skylarkstack.share.LimitShare;

/**
 * Phase of a server with regard to its cold time.
 */
enum ColdPhase {

	/** Slow; gets only the requests that it tolerates. */
	COLD {
		@Override
		double rate(double coldRate, int maxParts, LimitShare share, long warmingNanos) {
			return coldRate * share.part();
		}
	},

	/**
	 * The first second after the cold time. The daemons that have a part send twice as
	 * much in each step as in the one before, and the others join them one by one.
	 */
	WARMING {
		@Override
		double rate(double coldRate, int maxParts, LimitShare share, long warmingNanos) {
			boolean joined = warmingNanos >= share.trialPhase() * WARMING_NANOS;
			double part = joined ? Math.max(share.part(), 1.0 / maxParts) : share.part();
			long step = warmingNanos / STEP_NANOS;
			return Math.max(1, coldRate) * part * (2L << step);
		}
	},

	/** Without a limit. */
	WARM {
		@Override
		double rate(double coldRate, int maxParts, LimitShare share, long warmingNanos) {
			return Double.POSITIVE_INFINITY;
		}
	};

	/** Time after the cold time in which a server returns to normal use. */
	static final long WARMING_NANOS = 1_000_000_000L;

	private static final long STEP_NANOS = WARMING_NANOS / 4;

	/**
	 * Returns the rate at which this daemon may send requests.
	 * @param coldRate the rate of all daemons together in the cold time
	 * @param maxParts the largest number of daemons that have a part
	 * @param share the share of this daemon
	 * @param warmingNanos the time since the end of the cold time in nanoseconds
	 * @return the requests per second
	 */
	abstract double rate(double coldRate, int maxParts, LimitShare share, long warmingNanos);

}
