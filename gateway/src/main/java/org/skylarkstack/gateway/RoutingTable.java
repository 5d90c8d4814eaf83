package org.skylarkstack.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.TreeSet;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.edge.EdgeLimits;
import org.skylarkstack.text.AsciiCase;

/**
 * One version of the configuration, indexed for lookups by host, key and service name.
 * Immutable.
 */
public final class RoutingTable {

	private static final int ENGINE_PRIORITIES = 10;

	// Each priority of a team takes as many of those that engines distinguish.
	private static final int MAX_ROUTE_LEVELS = 3;

	private final long version;

	private final Map<String, List<ServiceRoute>> routesByHost = new HashMap<>();

	private final Map<String, ServicePolicy> services = new HashMap<>();

	// The priorities of the routes of each service, by service.
	private final Map<String, NavigableSet<Integer>> routePriorities = new HashMap<>();

	private final Map<String, TeamPolicy> teamsByKey = new HashMap<>();

	private final Map<String, TeamPolicy> teamsByName = new HashMap<>();

	private final List<TeamPolicy> teams;

	private int maxTeamPriority;

	private final List<ServiceRoute> routes;

	private final List<ServicePolicy> configuredServices;

	private final EdgeLimits limits;

	/**
	 * Creates a table.
	 * @param version the version of the configuration
	 * @param routes the routes
	 * @param services the services
	 * @param teams the teams; if there are none, no request needs a key
	 * @param limits the limits on the connections and requests of callers
	 */
	public RoutingTable(long version, List<ServiceRoute> routes, List<ServicePolicy> services, List<TeamPolicy> teams,
			EdgeLimits limits) {
		this.version = version;
		this.teams = List.copyOf(teams);
		this.routes = List.copyOf(routes);
		this.configuredServices = List.copyOf(services);
		this.limits = limits;
		routes.forEach(
				(route) -> this.routesByHost.computeIfAbsent(route.host(), (host) -> new ArrayList<>()).add(route));
		this.routesByHost.values()
			.forEach((list) -> list.sort(Comparator.comparingInt((ServiceRoute route) -> -route.prefix().length())));
		routes.forEach((route) -> route.services()
			.forEach((target) -> this.routePriorities.computeIfAbsent(target.service(), (name) -> new TreeSet<>())
				.add(route.priority())));
		services.forEach((service) -> this.services.put(service.name(), service));
		for (TeamPolicy team : teams) {
			this.teamsByName.put(team.name(), team);
			Integer priority = team.priority();
			this.maxTeamPriority = Math.max(this.maxTeamPriority, (priority != null) ? priority : 0);
			team.keys().forEach((key) -> this.teamsByKey.put(key, team));
		}
	}

	/**
	 * Finds the route of a request: the one with the longest matching path prefix among
	 * the routes of its host.
	 * @param host the host as sent, possibly with a port
	 * @param path the path without the query
	 * @return the route, or {@code null} if none matches
	 */
	public @Nullable ServiceRoute route(String host, String path) {
		int port = host.lastIndexOf(':');
		String name = AsciiCase.lower((port < 0) ? host : host.substring(0, port));
		for (ServiceRoute route : this.routesByHost.getOrDefault(name, List.of())) {
			if (path.startsWith(route.prefix())) {
				return route;
			}
		}
		return null;
	}

	/**
	 * Returns the priority of a request at a service: that of its team, or else that of
	 * its route. Where the routes of a service have several priorities, requests of one
	 * team are ranked by them, unless that would exceed the priorities that engines
	 * distinguish.
	 *
	 * <p>
	 * Designed for bursts in which the urgent and the ordinary streams of a team exceed
	 * the engines together. Without the rank, all streams of a team are equally urgent.
	 * @param service the service
	 * @param route the route
	 * @param team the team, or {@code null} on routes that need no key
	 * @return the priority, 0 being the most urgent
	 */
	public int priority(ServicePolicy service, ServiceRoute route, @Nullable TeamPolicy team) {
		Integer teamPriority = (team != null) ? team.priority() : null;
		if (teamPriority == null) {
			return route.priority();
		}
		NavigableSet<Integer> priorities = this.routePriorities.getOrDefault(service.name(),
				Collections.emptyNavigableSet());
		int levels = Math.min(MAX_ROUTE_LEVELS, priorities.size());
		if (levels < 2 || (this.maxTeamPriority + 1) * levels > ENGINE_PRIORITIES) {
			return teamPriority;
		}
		return teamPriority * levels + Math.min(levels - 1, priorities.headSet(route.priority(), false).size());
	}

	/**
	 * Finds the team that holds a key.
	 * @param key the key as sent by the caller
	 * @return the team, or {@code null} if the key is unknown or withdrawn
	 */
	public @Nullable TeamPolicy team(String key) {
		return this.teamsByKey.get(key);
	}

	/**
	 * Finds a team by its name.
	 * @param name the name
	 * @return the team, or {@code null} if it is not configured
	 */
	public @Nullable TeamPolicy teamByName(String name) {
		return this.teamsByName.get(name);
	}

	/**
	 * Finds a service by its name.
	 * @param name the name
	 * @return the service, or {@code null} if it is not configured
	 */
	public @Nullable ServicePolicy service(String name) {
		return this.services.get(name);
	}

	/**
	 * Returns the configured services.
	 * @return the services, in no particular order
	 */
	public Collection<ServicePolicy> services() {
		return this.services.values();
	}

	/**
	 * Returns the services as configured.
	 * @return the services in the order of the configuration, with those that another one
	 * of the same name replaces
	 */
	public List<ServicePolicy> configuredServices() {
		return this.configuredServices;
	}

	/**
	 * Returns the routes.
	 * @return the routes in the order of the configuration
	 */
	public List<ServiceRoute> routes() {
		return this.routes;
	}

	/**
	 * Returns the teams.
	 * @return the teams; empty if no request needs a key
	 */
	public List<TeamPolicy> teams() {
		return this.teams;
	}

	/**
	 * Returns the version of the configuration.
	 * @return the version, which grows with each change
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the limits on the connections and requests of callers.
	 * @return the limits of this version
	 */
	public EdgeLimits limits() {
		return this.limits;
	}

}
