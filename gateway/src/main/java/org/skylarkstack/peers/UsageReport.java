package org.skylarkstack.peers;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Current usage of one daemon. A report replaces all earlier reports of its sender, so
 * that a lost report does no harm.
 *
 * @param vmId the name of the sender's VM
 * @param incarnation identifies the process of the sender; a restart changes it
 * @param number the sequence number, which increases with each report of an incarnation
 * @param unitsByTeam the units that each team has taken at the sender since its start
 * @param runsByEngine the memory of each of the sender's requests, by engine
 * @param changingEngines the engines that the sender has ordered to change their role
 * @param crashes the number of backend server crashes that the sender has seen, by
 * request fingerprint
 */
public record UsageReport(String vmId, long incarnation, long number, Map<String, Long> unitsByTeam,
		Map<String, List<EngineRun>> runsByEngine, Set<String> changingEngines, Map<Long, Integer> crashes) {

	/**
	 * Creates a report with unmodifiable copies of the collections.
	 */
	public UsageReport {
		unitsByTeam = Map.copyOf(unitsByTeam);
		runsByEngine = Map.copyOf(runsByEngine);
		changingEngines = Set.copyOf(changingEngines);
		crashes = Map.copyOf(crashes);
	}

}
