package org.skylarkstack.report;

import java.util.List;

/**
 * Service-level report.
 *
 * @param atMillis the time of the last scrape in milliseconds since the epoch
 * @param daemons the number of scraped daemons
 * @param shortSeconds the part of the short window that the scrapes cover, in seconds
 * @param longSeconds the part of the long window that the scrapes cover, in seconds; 0 if
 * all scrapes have the same time, so that counters count from the start of the daemons
 * @param rows the rows, most urgent first within each kind
 */
public record BurnReport(long atMillis, int daemons, long shortSeconds, long longSeconds, List<BurnRow> rows) {

	/** Makes a defensive copy of the rows. */
	public BurnReport {
		rows = List.copyOf(rows);
	}

	/**
	 * Returns the most urgent state of all rows.
	 * @return the state, {@link BurnState#OK} if there are no rows
	 */
	public BurnState state() {
		return this.rows.stream().map(BurnRow::state).max(Enum::compareTo).orElse(BurnState.OK);
	}

}
