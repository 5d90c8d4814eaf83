package org.skylarkstack.configurationcheck;

import java.util.List;

import org.skylarkstack.coldness.ColdPolicy;
import org.skylarkstack.edge.EdgeLimits;
import org.skylarkstack.gateway.EngineProfile;
import org.skylarkstack.gateway.RouteKind;
import org.skylarkstack.gateway.ServicePolicy;
import org.skylarkstack.gateway.ServiceRoute;
import org.skylarkstack.gateway.TeamPolicy;

/**
 * Rules on the fields of single entries. Fields that a configuration omits have their
 * defaults.
 */
final class EntryRules {

	// Half of a piece of engine memory; an omitted size counts as 1 token.
	private static final long MIN_KV_TOKENS = 1_000;

	private static final String SLASH = "/";

	static final List<Rule<ServiceRoute>> ROUTES = List.of(
			new Rule<>("prefix-without-slashes", EntryRules::prefixLacksSlash, List.of(RouteField.PREFIX)),
			new Rule<>("host-with-port", EntryRules::hostHasPort, List.of(RouteField.HOST)),
			new Rule<>("weight-zero", EntryRules::hasWeightZero, List.of(RouteField.SERVICES)),
			new Rule<>("timeout-below-target", EntryRules::timeoutIsBelowTarget,
					List.of(RouteField.TIMEOUT, RouteField.TARGET)),
			new Rule<>("gap-above-timeout", EntryRules::gapExceedsTimeout,
					List.of(RouteField.TARGET_GAP, RouteField.TIMEOUT)),
			new Rule<>("attempts-not-repeatable", EntryRules::attemptsAreNotRepeatable,
					List.of(RouteField.MAX_ATTEMPTS, RouteField.KIND)));

	static final List<Rule<ServicePolicy>> SERVICES = List.of(
			new Rule<>("cold-rate-without-start", EntryRules::hasOnlyColdRate, List.of(ServiceField.COLD_RATE)),
			new Rule<>("cold-start-without-rate", EntryRules::hasOnlyColdStart, List.of(ServiceField.COLD_START)),
			new Rule<>("slots-above-connections", EntryRules::slotsExceedConnections,
					List.of(ServiceField.SLOTS, ServiceField.MAX_CONNECTIONS)),
			new Rule<>("kv-tokens-low", EntryRules::kvTokensAreLow, List.of(ServiceField.KV_TOKENS)));

	static final List<Rule<TeamPolicy>> TEAMS = List.of(
			new Rule<>("team-without-keys", (team) -> team.keys().isEmpty(), List.of()),
			new Rule<>("burst-below-request", EntryRules::burstIsBelowRequest,
					List.of(TeamField.BURST, TeamField.DEFAULT_TOKENS, TeamField.COUNTS_TOKENS)),
			new Rule<>("burst-without-rate", EntryRules::burstHasNoRate, List.of(TeamField.BURST, TeamField.RATE)));

	static final List<Rule<EdgeLimits>> LIMITS = List
		.of(new Rule<>("request-timeout-above-idle-timeout", EntryRules::requestTimeoutExceedsIdleTimeout,
				List.of(LimitField.REQUEST_TIMEOUT, LimitField.IDLE_TIMEOUT)));

	private EntryRules() {
	}

	private static boolean prefixLacksSlash(ServiceRoute route) {
		return !(route.prefix().startsWith(SLASH) && route.prefix().endsWith(SLASH));
	}

	// The host of a request is compared without its port.
	private static boolean hostHasPort(ServiceRoute route) {
		return route.host().indexOf(':') >= 0;
	}

	private static boolean hasWeightZero(ServiceRoute route) {
		return route.services().stream().anyMatch((target) -> target.weight() == 0);
	}

	private static boolean timeoutIsBelowTarget(ServiceRoute route) {
		return route.timeoutMillis() < route.targetMillis();
	}

	// The target has no effect on routes that are not streams.
	private static boolean gapExceedsTimeout(ServiceRoute route) {
		return route.kind() == RouteKind.STREAM && route.targetGapMillis() > route.timeoutMillis();
	}

	private static boolean attemptsAreNotRepeatable(ServiceRoute route) {
		return route.maxAttempts() > 1 && !route.repeatable();
	}

	private static boolean hasOnlyColdRate(ServicePolicy service) {
		ColdPolicy cold = service.cold();
		return !cold.isEnabled() && Double.isFinite(cold.perSecond());
	}

	private static boolean hasOnlyColdStart(ServicePolicy service) {
		ColdPolicy cold = service.cold();
		return cold.isEnabled() && Double.isInfinite(cold.perSecond());
	}

	private static boolean slotsExceedConnections(ServicePolicy service) {
		EngineProfile engine = service.engine();
		return engine != null && engine.slots() > service.maxConnections();
	}

	private static boolean kvTokensAreLow(ServicePolicy service) {
		EngineProfile engine = service.engine();
		return engine != null && engine.kvTokens() < MIN_KV_TOKENS;
	}

	private static boolean burstIsBelowRequest(TeamPolicy team) {
		return team.ratePerSecond() > 0 && team.burst() < team.cost(-1);
	}

	private static boolean burstHasNoRate(TeamPolicy team) {
		return team.ratePerSecond() <= 0 && team.burst() > 0;
	}

	private static boolean requestTimeoutExceedsIdleTimeout(EdgeLimits limits) {
		return limits.requestTimeoutMillis() > limits.idleTimeoutMillis();
	}

}
