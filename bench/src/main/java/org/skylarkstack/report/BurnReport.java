package org.skylarkstack.report;

import java.util.List;

/**
 * Service-level report.
 *
 * @param atMillis the time of the last scrape in milliseconds since the epoch
 * @param daemons the number of daemons that were scraped
 * @param shortSeconds the covered part of the short window in seconds
 * @param longSeconds the covered part of the long window in seconds; 0 if there was only
 * one scrape and the counters count from the daemons' start
 * @param rows the rows, the most urgent first within each kind
 */
public record BurnReport(long atMillis, int daemons, long shortSeconds, long longSeconds, List<BurnRow> rows) {

	/** Copies the rows. */
	public BurnReport {
		rows = List.copyOf(rows);
	}

	/**
	 * Returns the most urgent state.
	 * @return the state
	 */
	public BurnState state() {
		return this.rows.stream().map(BurnRow::state).max(Enum::compareTo).orElse(BurnState.OK);
	}

}
