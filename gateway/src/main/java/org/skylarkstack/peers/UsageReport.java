package org.skylarkstack.peers;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What one daemon uses at present. A report replaces all earlier ones of its sender, so
 * that a lost one does no harm.
 *
 * @param vmId the sender
 * @param incarnation identifies this start of the sender
 * @param number grows with each report of the incarnation
 * @param unitsByTeam the units that each team took at the sender since it started
 * @param runsByEngine the memory of each of the sender's requests at each engine
 * @param changingEngines the engines that the sender has ordered to change their role
 * @param crashes the deaths of servers that the sender has seen, by request fingerprint
 */
public record UsageReport(String vmId, long incarnation, long number, Map<String, Long> unitsByTeam,
		Map<String, List<EngineRun>> runsByEngine, Set<String> changingEngines, Map<Long, Integer> crashes) {

	/**
	 * Creates a report.
	 */
	public UsageReport {
		unitsByTeam = Map.copyOf(unitsByTeam);
		runsByEngine = Map.copyOf(runsByEngine);
		changingEngines = Set.copyOf(changingEngines);
		crashes = Map.copyOf(crashes);
	}

}
