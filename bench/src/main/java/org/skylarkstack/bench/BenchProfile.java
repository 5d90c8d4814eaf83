package org.skylarkstack.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.skylarkstack.configuration.EngineRole;
import org.skylarkstack.configuration.Route;
import org.skylarkstack.configuration.Team;
import org.skylarkstack.fleet.EnginePlan;
import org.skylarkstack.fleet.FleetPlan;
import org.skylarkstack.fleet.ServicePlan;
import org.skylarkstack.fleet.VmPlan;
import org.skylarkstack.schedule.RequestClass;

/**
 * Deployment with its load profile.
 *
 * @param name the name
 * @param vms the VMs
 * @param engines the engines
 * @param services the plain services
 * @param routes the routes
 * @param teams the teams
 * @param kinds the kinds of requests with their shares
 */
public record BenchProfile(String name, List<VmPlan> vms, List<EnginePlan> engines, List<ServicePlan> services,
		List<Route> routes, List<TeamShare> teams, List<RequestKind> kinds) {

	/** Ratio of a team's limit to its usual share of the capacity. */
	static final double LIMIT_HEADROOM = 2;

	/** Burst of a team in seconds of its rate. */
	static final double BURST_SECONDS = 10;

	/**
	 * Rate and burst of teams while the capacity is measured, high enough that no request
	 * is limited.
	 */
	private static final long UNLIMITED_TOKENS = 1_000_000_000L;

	private static final String SUMMARY = "summary-model";

	private static final String APPLICATION = "application-model";

	private static final int DECODE_SLOTS = 20;

	private static final int MEMORY_PIECES = 64;

	private static final int PREFILL_TOKENS_PER_SECOND = 30_000;

	private static final int TOKEN_MILLIS = 30;

	/** Copies the lists. */
	public BenchProfile {
		vms = List.copyOf(vms);
		engines = List.copyOf(engines);
		services = List.copyOf(services);
		routes = List.copyOf(routes);
		teams = List.copyOf(teams);
		kinds = List.copyOf(kinds);
	}

	/**
	 * Returns a predefined profile.
	 * @param name the name: {@code school}, {@code pumps} or {@code smoke}
	 * @return the profile
	 */
	public static BenchProfile named(String name) {
		return switch (name) {
			case "school" -> school();
			case "pumps" -> pumps();
			case "smoke" -> smoke();
			default -> throw new IllegalArgumentException("unknown deployment %s".formatted(name));
		};
	}

	/** Seven VMs in four data centres, 6 summary and 4 application engines. */
	private static BenchProfile school() {
		List<EnginePlan> engines = new ArrayList<>();
		addEngines(engines, SUMMARY, 2, 4, 4, TOKEN_MILLIS);
		addEngines(engines, APPLICATION, 2, 2, 4, TOKEN_MILLIS);
		return new BenchProfile("school", vms(7, 4), engines, services(4), defaultRoutes(), defaultTeams(), List.of(
				new RequestKind("summary", RequestTarget.COMPLETION, 0.25, SUMMARY, 2_500, 500, 150,
						RequestClass.BATCH),
				new RequestKind("digest", RequestTarget.COMPLETION, 0.15, SUMMARY, 1_200, 500, 120, RequestClass.BATCH),
				new RequestKind("lookup", RequestTarget.COMPLETION, 0.40, APPLICATION, 300, 100, 30,
						RequestClass.INTERACTIVE),
				RequestKind.service("meal entry", RequestTarget.ENTRY, 0.15, "/meals"),
				RequestKind.service("status", RequestTarget.STATUS, 0.05, "/status/register")));
	}

	/** Seven VMs in three data centres, 8 summary and 3 application engines. */
	private static BenchProfile pumps() {
		List<EnginePlan> engines = new ArrayList<>();
		addEngines(engines, SUMMARY, 3, 5, 3, TOKEN_MILLIS);
		addEngines(engines, APPLICATION, 1, 2, 3, TOKEN_MILLIS);
		return new BenchProfile("pumps", vms(7, 3), engines, services(3), defaultRoutes(), defaultTeams(),
				List.of(new RequestKind("history", RequestTarget.COMPLETION, 0.40, SUMMARY, 5_000, 4_000, 80,
						RequestClass.INTERACTIVE),
						new RequestKind("advice", RequestTarget.COMPLETION, 0.25, APPLICATION, 500, 200, 60,
								RequestClass.INTERACTIVE),
						RequestKind.service("booking", RequestTarget.ENTRY, 0.15, "/bookings"),
						RequestKind.service("status", RequestTarget.STATUS, 0.20, "/status/pump")));
	}

	/** Three VMs and short requests, for a run under a minute. */
	private static BenchProfile smoke() {
		List<EnginePlan> engines = new ArrayList<>();
		addEngines(engines, SUMMARY, 1, 2, 3, 5);
		return new BenchProfile("smoke", vms(3, 3), engines, services(2), defaultRoutes(), defaultTeams(), List.of(
				new RequestKind("lookup", RequestTarget.COMPLETION, 0.6, SUMMARY, 300, 256, 20,
						RequestClass.INTERACTIVE),
				new RequestKind("summary", RequestTarget.COMPLETION, 0.2, SUMMARY, 900, 300, 40, RequestClass.BATCH),
				RequestKind.service("booking", RequestTarget.ENTRY, 0.1, "/bookings"),
				RequestKind.service("status", RequestTarget.STATUS, 0.1, "/status/pump")));
	}

	private static List<VmPlan> vms(int count, int dataCentres) {
		List<VmPlan> vms = new ArrayList<>();
		for (int vm = 0; vm < count; vm++) {
			vms.add(new VmPlan("vm-" + (vm + 1), dataCentre(vm, dataCentres)));
		}
		return vms;
	}

	private static String dataCentre(int number, int dataCentres) {
		return "dc-" + (char) ('a' + number % dataCentres);
	}

	private static void addEngines(List<EnginePlan> engines, String model, int prefills, int decodes, int dataCentres,
			int tokenMillis) {
		for (int engine = 0; engine < prefills + decodes; engine++) {
			EngineRole role = (engine < prefills) ? EngineRole.PREFILL : EngineRole.DECODE;
			engines.add(new EnginePlan(model + "-" + (engine + 1), dataCentre(engines.size(), dataCentres), model, role,
					DECODE_SLOTS, MEMORY_PIECES, PREFILL_TOKENS_PER_SECOND, tokenMillis));
		}
	}

	private static List<ServicePlan> services(int dataCentres) {
		List<String> places = new ArrayList<>();
		for (int server = 0; server < 2; server++) {
			places.add(dataCentre(server, dataCentres));
		}
		return List.of(new ServicePlan("records", places));
	}

	private static List<Route> defaultRoutes() {
		return List.of(new Route("bookings", "/bookings", Set.of("POST"), "records", false, true),
				new Route("meals", "/meals", Set.of("POST"), "records", false, true),
				new Route("status", "/status", Set.of("GET"), "records", false, false));
	}

	private static List<TeamShare> defaultTeams() {
		return List.of(new TeamShare("north", 0.40, 4), new TeamShare("south", 0.30, 3),
				new TeamShare("east", 0.15, 1.5), new TeamShare("west", 0.10, 1), new TeamShare("island", 0.05, 1));
	}

	int decodeSlots() {
		return this.engines.stream()
			.filter((engine) -> engine.role().decodes())
			.mapToInt(EnginePlan::decodeSlots)
			.sum();
	}

	double reservedTokensPerRequest() {
		return this.kinds.stream().mapToDouble((kind) -> kind.share() * kind.reservedTokens()).sum();
	}

	FleetPlan unlimitedPlan(String policy) {
		return plan(policy,
				this.teams.stream()
					.map((team) -> new Team(team.id(), UNLIMITED_TOKENS, UNLIMITED_TOKENS, team.weight(), null))
					.toList());
	}

	FleetPlan plan(String policy, double requestsPerSecond) {
		return plan(policy, this.teams.stream().map((team) -> withLimits(team, requestsPerSecond)).toList());
	}

	/**
	 * Returns a team with limits in proportion to its share of the capacity.
	 * @param team the team and its share
	 * @param requestsPerSecond the capacity of the fleet in requests per second
	 * @return the team with its limits
	 */
	Team withLimits(TeamShare team, double requestsPerSecond) {
		double rate = Math.max(1, LIMIT_HEADROOM * team.share() * requestsPerSecond * reservedTokensPerRequest());
		// A VM without loans has only its slice of the burst, which must cover the
		// longest request.
		double minBurst = this.vms.size() * 6.0
				* this.kinds.stream().mapToInt(RequestKind::reservedTokens).max().orElse(0);
		return new Team(team.id(), (long) rate, (long) Math.max(rate * BURST_SECONDS, minBurst), team.weight(), null);
	}

	private FleetPlan plan(String policy, List<Team> limitedTeams) {
		Map<String, String> keys = new HashMap<>();
		this.teams.forEach((team) -> keys.put(team.key(), team.id()));
		return new FleetPlan(this.vms, this.engines, limitedTeams, keys, this.services, this.routes, policy);
	}

}
