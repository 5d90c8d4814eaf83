package org.skylarkstack.fleet;

import java.util.List;
import java.util.Map;

import org.skylarkstack.configuration.Route;
import org.skylarkstack.configuration.Team;

/**
 * Configuration of a local fleet.
 *
 * @param vms the VMs, each of which runs one daemon
 * @param engines the engines of all data centres
 * @param teams the teams and their limits
 * @param keys the team of each API key
 * @param services the plain services
 * @param routes the routes to plain services
 * @param placementPolicy the name of the placement policy
 */
public record FleetPlan(List<VmPlan> vms, List<EnginePlan> engines, List<Team> teams, Map<String, String> keys,
		List<ServicePlan> services, List<Route> routes, String placementPolicy) {

	/** Makes defensive copies of the collections. */
	public FleetPlan {
		vms = List.copyOf(vms);
		engines = List.copyOf(engines);
		teams = List.copyOf(teams);
		keys = Map.copyOf(keys);
		services = List.copyOf(services);
		routes = List.copyOf(routes);
	}

	/**
	 * Creates a plan without plain services.
	 * @param vms the VMs, each of which runs one daemon
	 * @param engines the engines of all data centres
	 * @param teams the teams and their limits
	 * @param keys the team of each API key
	 * @param placementPolicy the name of the placement policy
	 */
	public FleetPlan(List<VmPlan> vms, List<EnginePlan> engines, List<Team> teams, Map<String, String> keys,
			String placementPolicy) {
		this(vms, engines, teams, keys, List.of(), List.of(), placementPolicy);
	}

}
