package org.skylarkstack.engine;

import java.util.HashMap;
import java.util.Map;

/**
 * Parses the load report of an engine from Prometheus text.
 */
final class LoadReportParser {

	private LoadReportParser() {
	}

	static EngineLoad parse(String text) {
		Map<String, Double> gauges = new HashMap<>();
		for (String line : text.split("\n")) {
			int space = line.lastIndexOf(' ');
			if (line.startsWith("#") || space < 0) {
				continue;
			}
			int labels = line.indexOf('{');
			String name = line.substring(0, (labels > 0) ? labels : space);
			gauges.put(name, Double.parseDouble(line.substring(space + 1).trim()));
		}
		return new EngineLoad(gauge(gauges, "engine_requests_running"), gauge(gauges, "engine_requests_waiting"),
				gauge(gauges, "engine_kv_pieces_used"), gauge(gauges, "engine_prefill_tokens_queued"));
	}

	private static int gauge(Map<String, Double> gauges, String name) {
		return gauges.getOrDefault(name, 0.0).intValue();
	}

}
