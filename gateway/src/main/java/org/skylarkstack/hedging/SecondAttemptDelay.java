package org.skylarkstack.hedging;

/**
 * Decides how long the first attempt of a request runs alone: for longer than most
 * responses of its route take, but not so long that the second attempt would miss the
 * latency target.
 *
 * <p>
 * Designed for servers that share their machines with other work, of which a few need two
 * to three times as long for some hundred milliseconds.
 */
public final class SecondAttemptDelay {

	/** Returned if no second attempt could meet the target. */
	public static final long NONE = -1;

	// 5 in 100 times of a normal distribution lie above, as many as the share that the
	// deploy file sets, and 15 in 100 of an exponential one.
	private static final double PREFERRED_DEVIATIONS = 2.5;

	// 25 in 100 times of a symmetric distribution lie above. A second attempt that had to
	// be sent earlier to meet the target would mostly follow requests without delay.
	private static final double MIN_DEVIATIONS = 1;

	// Three of four second attempts take at most this time.
	private static final double SECOND_DEVIATIONS = 1;

	private static final double TARGET_SHARE_UNKNOWN = 0.5;

	private SecondAttemptDelay() {
	}

	/**
	 * Returns the time between the first and the second attempt.
	 * @param times the times of earlier responses of the route
	 * @param targetMillis the time after the arrival of the request by which the response
	 * should be complete, in milliseconds
	 * @param waitedMillis the time between the arrival of the request and the first
	 * attempt, in milliseconds
	 * @return the time in milliseconds, or {@link #NONE} if a second attempt after it
	 * would miss the target
	 */
	public static long delayMillis(ResponseTimes times, long targetMillis, long waitedMillis) {
		if (!times.isKnown()) {
			long delay = (long) (TARGET_SHARE_UNKNOWN * targetMillis) - waitedMillis;
			return (delay > 0) ? delay : NONE;
		}
		double latest = targetMillis - waitedMillis - times.millis(SECOND_DEVIATIONS);
		if (latest < times.millis(MIN_DEVIATIONS)) {
			return NONE;
		}
		return (long) Math.ceil(Math.max(1, Math.min(latest, times.millis(PREFERRED_DEVIATIONS))));
	}

}
