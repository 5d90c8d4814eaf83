package org.skylarkstack.report;

import java.util.List;

/**
 * Metrics of one daemon at one time.
 *
 * @param source the daemon
 * @param epochMillis the wall-clock time in milliseconds since the epoch
 * @param samples the samples
 */
public record Scrape(String source, long epochMillis, List<MetricSample> samples) {

	/** Copies the samples. */
	public Scrape {
		samples = List.copyOf(samples);
	}

}
