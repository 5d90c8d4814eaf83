package org.skylarkstack.report;

/**
 * Urgency of a burn rate. The burn rates of both windows must reach a threshold, so that
 * neither a past fault nor a brief one raises an alarm.
 */
public enum BurnState {

	/** The budget lasts at this burn rate. */
	OK(0),

	/** The budget does not last if the burn rate persists. */
	WATCH(1),

	/** The burn rate consumes 2 % of the monthly budget in one hour. */
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
