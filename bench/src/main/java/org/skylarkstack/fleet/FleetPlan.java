package org.skylarkstack.fleet;

import java.util.List;
import java.util.Map;

import org.skylarkstack.configuration.Team;

/**
 * Plan of a fleet.
 *
 * @param vms the VMs
 * @param engines the engines
 * @param teams the teams
 * @param keys the callers' keys by key; the value is the team
 * @param placementPolicy the name of the placement policy
 */
public record FleetPlan(List<VmPlan> vms, List<EnginePlan> engines, List<Team> teams, Map<String, String> keys,
		String placementPolicy) {

	/** Copies the collections. */
	public FleetPlan {
		vms = List.copyOf(vms);
		engines = List.copyOf(engines);
		teams = List.copyOf(teams);
		keys = Map.copyOf(keys);
	}

}
