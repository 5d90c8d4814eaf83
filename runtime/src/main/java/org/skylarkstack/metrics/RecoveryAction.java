package org.skylarkstack.metrics;

import java.util.Locale;

/**
 * Actions taken after a failure, as counted by the metrics.
 */
public enum RecoveryAction {

	/** A request was sent again. */
	RETRY,

	/** A stream was resumed on another engine. */
	RESUME,

	/** A late or crossed answer was dropped. */
	ANSWER_DROPPED,

	/** Memory held for a dead VM was freed. */
	MEMORY_SWEPT,

	/** A request was refused because it had crashed backend servers. */
	SUSPECT_REFUSED,

	/** A retry was not made because the budget was used up. */
	RETRY_BUDGET_SPENT;

	/**
	 * Returns the value of the action label.
	 * @return the label value
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT);
	}

}
