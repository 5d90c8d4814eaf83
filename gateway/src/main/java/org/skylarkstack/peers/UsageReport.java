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
 * @param sequenceNumber increases with each report of an incarnation
 * @param unitsByTeam the units that each team has taken at the sender since its start
 * @param memoryByEngine the memory of each of the sender's requests, by engine
 * @param enginesChangingRole the engines that the sender has ordered to change their role
 * @param crashes what the sender knows about crashes of backend servers
 * @param configurationVersion the version of the configuration in force at the sender, or
 * 0 if there is none
 * @param paces how long work takes at the servers that answered the sender most recently,
 * by server, in hundredths of the usual time
 */
public record UsageReport(String vmId, long incarnation, long sequenceNumber, Map<String, Long> unitsByTeam,
		Map<String, List<RequestMemory>> memoryByEngine, Set<String> enginesChangingRole, CrashReport crashes,
		long configurationVersion, Map<String, Integer> paces) {

	/**
	 * Creates a report with unmodifiable copies of the collections.
	 */
	public UsageReport {
		unitsByTeam = Map.copyOf(unitsByTeam);
		memoryByEngine = Map.copyOf(memoryByEngine);
		enginesChangingRole = Set.copyOf(enginesChangingRole);
		paces = Map.copyOf(paces);
	}

	/**
	 * Creates a report of a daemon to which no server states how long work takes.
	 * @param vmId the name of the sender's VM
	 * @param incarnation identifies the process of the sender
	 * @param sequenceNumber increases with each report of an incarnation
	 * @param unitsByTeam the units that each team has taken
	 * @param memoryByEngine the memory of each of the sender's requests, by engine
	 * @param enginesChangingRole the engines that the sender has ordered to change their
	 * role
	 * @param crashes what the sender knows about crashes of backend servers
	 * @param configurationVersion the version of the configuration in force
	 */
	public UsageReport(String vmId, long incarnation, long sequenceNumber, Map<String, Long> unitsByTeam,
			Map<String, List<RequestMemory>> memoryByEngine, Set<String> enginesChangingRole, CrashReport crashes,
			long configurationVersion) {
		this(vmId, incarnation, sequenceNumber, unitsByTeam, memoryByEngine, enginesChangingRole, crashes,
				configurationVersion, Map.of());
	}

}
