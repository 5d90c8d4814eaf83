package org.skylarkstack.peers;

import java.util.List;
import java.util.Map;

/**
 * What a daemon knows about crashes of backend servers.
 *
 * @param crashes the crashes that it has detected during its own requests
 * @param successAges the time since a request that started a response was sent, in
 * milliseconds, for each suspected request or part
 * @param blocks the parts of prompts that it refuses, whoever has detected the crashes
 */
public record CrashReport(List<ReportedCrash> crashes, Map<String, Long> successAges,
		Map<String, ReportedBlock> blocks) {

	/** Report without any crash. */
	public static final CrashReport NONE = new CrashReport(List.of(), Map.of(), Map.of());

	/**
	 * Creates a report with unmodifiable copies of the collections.
	 */
	public CrashReport {
		crashes = List.copyOf(crashes);
		successAges = Map.copyOf(successAges);
		blocks = Map.copyOf(blocks);
	}

}
