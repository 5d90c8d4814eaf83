package org.skylarkstack.report;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Error budget of one data centre, service, team or latency objective.
 *
 * @param kind the kind of the objective
 * @param name the name of the data centre, service, team or latency objective
 * @param requests the number of requests or tokens in the long window that count towards
 * the objective
 * @param failed the number of these that missed the objective
 * @param budget the number of these that may miss the objective
 * @param shortBurn the burn rate over the short window; a rate of 1 consumes exactly the
 * budget
 * @param longBurn the burn rate over the long window
 * @param causes the number of misses by cause in the long window, largest first
 * @param state the urgency of the burn rate
 */
public record BurnRow(Kind kind, String name, long requests, long failed, double budget, double shortBurn,
		double longBurn, Map<String, Long> causes, BurnState state) {

	/** Makes a defensive copy of the causes in the same order. */
	public BurnRow {
		causes = java.util.Collections.unmodifiableMap(new LinkedHashMap<>(causes));
	}

	/**
	 * Kind of an objective.
	 */
	public enum Kind {

		/** Failed requests in a data centre. */
		DATA_CENTRE,

		/** Failed requests to a service. */
		SERVICE,

		/** Failed requests of a team. */
		TEAM,

		/** Tokens that missed their latency target. */
		LATENCY

	}

}
