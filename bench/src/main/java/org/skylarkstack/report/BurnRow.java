package org.skylarkstack.report;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Error budget of one team, service or data centre in the long window.
 *
 * @param kind what the row is about
 * @param name the name
 * @param requests the requests or tokens that count
 * @param failed those that missed their objective
 * @param budget those that may miss it
 * @param shortBurn the burn over the short window; 1 uses the budget up exactly
 * @param longBurn the burn over the long window
 * @param causes what burned the budget, the largest part first
 * @param state how urgent it is
 */
public record BurnRow(Kind kind, String name, long requests, long failed, double budget, double shortBurn,
		double longBurn, Map<String, Long> causes, BurnState state) {

	/** Copies the causes and keeps their order. */
	public BurnRow {
		causes = java.util.Collections.unmodifiableMap(new LinkedHashMap<>(causes));
	}

	/**
	 * What a row is about.
	 */
	public enum Kind {

		/** Failures in a data centre. */
		DATA_CENTRE,

		/** Failures of a service. */
		SERVICE,

		/** Failures that a team saw. */
		TEAM,

		/** Tokens that came later than their target. */
		LATENCY

	}

}
