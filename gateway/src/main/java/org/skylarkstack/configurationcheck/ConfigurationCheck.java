package org.skylarkstack.configurationcheck;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.skylarkstack.gateway.RoutingTable;
import org.skylarkstack.gateway.ServicePolicy;
import org.skylarkstack.gateway.ServiceRoute;
import org.skylarkstack.gateway.TeamPolicy;
import org.skylarkstack.gateway.WeightedService;
import org.skylarkstack.text.HeaderObstacle;

/**
 * Checks a configuration for entries that conflict with each other or have no effect.
 */
public final class ConfigurationCheck {

	private ConfigurationCheck() {
	}

	/**
	 * Checks a configuration.
	 * @param table the configuration
	 * @return the findings
	 */
	public static List<Finding> findings(RoutingTable table) {
		List<Finding> findings = new ArrayList<>();
		findings.addAll(unknownServices(table));
		findings.addAll(routesWithoutWeight(table));
		findings.addAll(duplicateRoutes(table));
		findings.addAll(duplicateNames(table));
		findings.addAll(unusableNames(table));
		findings.addAll(unusableKeys(table));
		findings.addAll(sharedKeys(table));
		findings.addAll(unusedServices(table));
		findings.addAll(missingTeams(table));
		findings.addAll(brokenEntryRules(table));
		return findings;
	}

	private static List<Finding> unknownServices(RoutingTable table) {
		List<Finding> findings = new ArrayList<>();
		for (int index = 0; index < table.routes().size(); index++) {
			Place place = Place.of(index, table.routes().get(index));
			for (WeightedService target : table.routes().get(index).services()) {
				if (table.service(target.service()) == null) {
					findings.add(Finding.error("unknown-service", place, null,
							new FieldValue(RouteField.SERVICES, target.service())));
				}
			}
		}
		return findings;
	}

	// Weights are integers; one below 1 counts as 0.
	private static List<Finding> routesWithoutWeight(RoutingTable table) {
		List<Finding> findings = new ArrayList<>();
		for (int index = 0; index < table.routes().size(); index++) {
			ServiceRoute route = table.routes().get(index);
			if (route.services().stream().allMatch((target) -> target.weight() == 0)) {
				findings.add(Finding.error("route-without-weight", Place.of(index, route), null,
						FieldValue.of(RouteField.SERVICES, route)));
			}
		}
		return findings;
	}

	// The first of the routes gets all requests.
	private static List<Finding> duplicateRoutes(RoutingTable table) {
		List<Finding> findings = new ArrayList<>();
		Map<List<String>, Place> first = new HashMap<>();
		for (int index = 0; index < table.routes().size(); index++) {
			ServiceRoute route = table.routes().get(index);
			Place place = Place.of(index, route);
			Place other = first.putIfAbsent(List.of(route.host(), route.prefix()), place);
			if (other != null) {
				findings.add(Finding.error("duplicate-route", place, other, FieldValue.of(RouteField.HOST, route),
						FieldValue.of(RouteField.PREFIX, route)));
			}
		}
		return findings;
	}

	private static List<Finding> duplicateNames(RoutingTable table) {
		List<Place> named = new ArrayList<>();
		for (int index = 0; index < table.routes().size(); index++) {
			if (!table.routes().get(index).name().isEmpty()) {
				named.add(Place.of(index, table.routes().get(index)));
			}
		}
		for (int index = 0; index < table.configuredServices().size(); index++) {
			named.add(Place.of(index, table.configuredServices().get(index)));
		}
		for (int index = 0; index < table.teams().size(); index++) {
			named.add(Place.of(index, table.teams().get(index)));
		}
		List<Finding> findings = new ArrayList<>();
		Map<Place, Place> first = new HashMap<>();
		for (Place place : named) {
			Place other = first.putIfAbsent(place.withoutIndex(), place);
			if (other != null) {
				findings.add(Finding.error("duplicate-name", place, other));
			}
		}
		return findings;
	}

	// Requests of such a team are refused.
	private static List<Finding> unusableNames(RoutingTable table) {
		List<Finding> findings = new ArrayList<>();
		for (int index = 0; index < table.teams().size(); index++) {
			TeamPolicy team = table.teams().get(index);
			HeaderObstacle obstacle = team.nameObstacle();
			if (obstacle != null) {
				findings.add(Finding.error("team-name-" + obstacle.label(), Place.of(index, team), null));
			}
		}
		return findings;
	}

	// Callers cannot send such a key. Shows the number of the keys, never the keys.
	private static List<Finding> unusableKeys(RoutingTable table) {
		List<Finding> findings = new ArrayList<>();
		for (int index = 0; index < table.teams().size(); index++) {
			TeamPolicy team = table.teams().get(index);
			long count = team.keys()
				.stream()
				.filter((key) -> HeaderObstacle.of(key) == HeaderObstacle.OUTER_SPACE)
				.count();
			if (count > 0) {
				findings.add(Finding.error("key-outer-space", Place.of(index, team), null,
						new FieldValue(TeamField.KEYS, Long.toString(count))));
			}
		}
		return findings;
	}

	// Shows the number of the keys that two teams share, never the keys.
	private static List<Finding> sharedKeys(RoutingTable table) {
		List<Finding> findings = new ArrayList<>();
		Map<String, Integer> holders = new HashMap<>();
		for (int index = 0; index < table.teams().size(); index++) {
			TeamPolicy team = table.teams().get(index);
			Map<Integer, Integer> shared = new TreeMap<>();
			for (String key : team.keys()) {
				Integer holder = holders.putIfAbsent(key, index);
				if (holder != null) {
					shared.merge(holder, 1, Integer::sum);
				}
			}
			Place place = Place.of(index, team);
			shared.forEach((holder, count) -> findings.add(Finding.error("shared-key", place,
					Place.of(holder, table.teams().get(holder)), new FieldValue(TeamField.KEYS, count.toString()))));
		}
		return findings;
	}

	private static List<Finding> unusedServices(RoutingTable table) {
		Set<String> used = new HashSet<>();
		table.routes().forEach((route) -> route.services().forEach((target) -> used.add(target.service())));
		List<Finding> findings = new ArrayList<>();
		for (int index = 0; index < table.configuredServices().size(); index++) {
			ServicePolicy service = table.configuredServices().get(index);
			if (!used.contains(service.name())) {
				findings.add(Finding.warning("service-without-route", Place.of(index, service)));
			}
		}
		return findings;
	}

	private static List<Finding> missingTeams(RoutingTable table) {
		return table.teams().isEmpty() ? List.of(Finding.warning("no-teams", Place.of(Section.TEAMS))) : List.of();
	}

	private static List<Finding> brokenEntryRules(RoutingTable table) {
		List<Finding> findings = new ArrayList<>();
		for (int index = 0; index < table.routes().size(); index++) {
			ServiceRoute route = table.routes().get(index);
			findings.addAll(broken(EntryRules.ROUTES, Place.of(index, route), route));
		}
		for (int index = 0; index < table.configuredServices().size(); index++) {
			ServicePolicy service = table.configuredServices().get(index);
			findings.addAll(broken(EntryRules.SERVICES, Place.of(index, service), service));
		}
		for (int index = 0; index < table.teams().size(); index++) {
			TeamPolicy team = table.teams().get(index);
			findings.addAll(broken(EntryRules.TEAMS, Place.of(index, team), team));
		}
		findings.addAll(broken(EntryRules.LIMITS, Place.of(Section.LIMITS), table.limits()));
		return findings;
	}

	private static <T> List<Finding> broken(List<Rule<T>> rules, Place place, T entry) {
		return rules.stream()
			.filter((rule) -> rule.broken().test(entry))
			.map((rule) -> rule.finding(place, entry))
			.toList();
	}

}
