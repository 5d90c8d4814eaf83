package org.skylarkstack.report;

import java.util.Map;

/**
 * Sample of one metric series.
 *
 * @param name the metric name
 * @param labels the label values by label name
 * @param value the sample value, which may be infinite
 */
public record MetricSample(String name, Map<String, String> labels, double value) {

	/** Makes a defensive copy of the labels. */
	public MetricSample {
		labels = Map.copyOf(labels);
	}

	String label(String label) {
		return this.labels.getOrDefault(label, "");
	}

}
