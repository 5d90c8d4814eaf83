package org.skylarkstack.report;

/**
 * How urgent a burn is. Both windows must exceed a threshold, so that neither an old
 * fault nor a short one raises an alarm.
 */
public enum BurnState {

	/** The budget lasts. */
	OK(0),

	/** The budget will not last. */
	WATCH(1),

	/** At this pace 2 % of a month's budget is gone in an hour. */
	ACT_NOW(14.4);

	private final double threshold;

	BurnState(double threshold) {
		this.threshold = threshold;
	}

	static BurnState of(double shortBurn, double longBurn) {
		double burn = Math.min(shortBurn, longBurn);
		if (burn >= ACT_NOW.threshold) {
			return ACT_NOW;
		}
		return (burn >= WATCH.threshold) ? WATCH : OK;
	}

}
