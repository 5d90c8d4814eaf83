package org.skylarkstack.engine;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/**
 * Parses the load report of an engine from Prometheus text.
 */
final class LoadReportParser {

	// Sums of gauges up to this value fit into an int.
	private static final int MAX_GAUGE = 100_000_000;

	private LoadReportParser() {
	}

	static EngineLoad parse(String text) throws IOException {
		Map<String, String> gauges = new HashMap<>();
		for (String line : text.split("\n")) {
			int space = line.lastIndexOf(' ');
			if (line.startsWith("#") || space < 0) {
				continue;
			}
			int labels = line.indexOf('{');
			String name = line.substring(0, (labels > 0) ? labels : space);
			gauges.put(name, line.substring(space + 1).trim());
		}
		return new EngineLoad(gauge(gauges, "engine_requests_running"), gauge(gauges, "engine_requests_waiting"),
				gauge(gauges, "engine_kv_pieces_used"), gauge(gauges, "engine_prefill_tokens_queued"));
	}

	private static int gauge(Map<String, String> gauges, String name) throws IOException {
		String text = gauges.getOrDefault(name, "0");
		double value;
		try {
			value = Double.parseDouble(text);
		}
		catch (NumberFormatException ex) {
			throw new IOException("gauge %s of the load report is not a number".formatted(name), ex);
		}
		if (!(value >= 0 && value <= MAX_GAUGE)) {
			throw new IOException("gauge %s of the load report is out of range: %s".formatted(name, text));
		}
		return (int) value;
	}

}
