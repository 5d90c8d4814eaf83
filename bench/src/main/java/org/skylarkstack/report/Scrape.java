package org.skylarkstack.report;

import java.util.List;

/**
 * Metrics of one daemon at one point in time.
 *
 * @param source the source name of the daemon
 * @param epochMillis the wall-clock time in milliseconds since the epoch
 * @param samples the samples in the order of the exposition
 */
public record Scrape(String source, long epochMillis, List<MetricSample> samples) {

	/** Makes a defensive copy of the samples. */
	public Scrape {
		samples = List.copyOf(samples);
	}

}
