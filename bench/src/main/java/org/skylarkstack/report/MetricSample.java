package org.skylarkstack.report;

import java.util.Map;

/**
 * Sample of a metric.
 *
 * @param name the metric
 * @param labels the labels
 * @param value the value
 */
public record MetricSample(String name, Map<String, String> labels, double value) {

	/** Copies the labels. */
	public MetricSample {
		labels = Map.copyOf(labels);
	}

	String label(String label) {
		return this.labels.getOrDefault(label, "");
	}

}
