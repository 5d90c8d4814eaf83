package org.skylarkstack.gateway;

import java.nio.charset.StandardCharsets;
import java.time.Duration;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.jspecify.annotations.Nullable;
import org.skylarkstack.edge.CallerHandler;
import org.skylarkstack.edge.CallerRequest;
import org.skylarkstack.edge.CallerResponse;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.text.HeaderObstacle;
import org.skylarkstack.text.HeaderText;
import org.skylarkstack.text.QuotedText;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Admits callers' requests: finds the route, checks the key, picks the service, refuses
 * requests suspected of crashing servers, and applies the team's limit. An admitted
 * request continues as an {@link Exchange}; any other gets an error response.
 */
public final class Gateway implements CallerHandler {

	private static final Logger log = LoggerFactory.getLogger(Gateway.class);

	private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);

	private static final long MILLIS_PER_SECOND = 1_000;

	private final GatewayComponents components;

	private final OpenExchanges open;

	/**
	 * Creates a gateway.
	 * @param components the components that all requests share
	 * @param open the registry that every admitted exchange joins until it ends
	 */
	public Gateway(GatewayComponents components, OpenExchanges open) {
		this.components = components;
		this.open = open;
	}

	@Override
	public void handle(CallerRequest request, CallerResponse response) {
		RequestFacts facts = this.components.dialect().facts(request);
		long now = System.nanoTime();
		try {
			admit(request, facts, response, now);
		}
		catch (RouterException ex) {
			this.components.metrics().request("none", ex.httpStatus(), ex.type().code());
			log.atInfo()
				.addKeyValue("event", "request-refused")
				.addKeyValue("id", facts.requestId())
				.addKeyValue("path", request.path())
				.addKeyValue("code", ex.type().code())
				.addKeyValue("status", ex.httpStatus())
				.addKeyValue("why", ex.getMessage())
				.addKeyValue("version", version())
				.addKeyValue("keyAgeMs", this.components.state().freshness().ageMillis(now, System.currentTimeMillis()))
				.log();
			refuse(this.components, facts, response, ex);
		}
	}

	private long version() {
		RoutingTable table = this.components.state().routing();
		return (table != null) ? table.version() : 0;
	}

	private void admit(CallerRequest request, RequestFacts facts, CallerResponse response, long now) {
		RoutingTable table = this.components.state().routing();
		if (table == null) {
			throw RouterException.retryAfter(ErrorType.NOT_READY, DEFAULT_RETRY_AFTER);
		}
		ServiceRoute route = table.route(facts.host(), HeaderText.decode(request.path()));
		if (route == null && this.components.state().versions().mayBeOutdated(now)) {
			throw RouterException.retryAfter(ErrorType.NOT_READY, DEFAULT_RETRY_AFTER);
		}
		if (route == null) {
			throw new RouterException(ErrorType.NO_ROUTE, request.method(), request.path());
		}
		TeamPolicy team = team(table, route, facts, now);
		String service = route.pickService(this.components.random());
		ServicePolicy policy = (service != null) ? table.service(service) : null;
		if (policy == null) {
			throw RouterException.retryAfter(ErrorType.NO_ENGINE, DEFAULT_RETRY_AFTER, route.name());
		}
		ExchangeContext context = new ExchangeContext(request, facts, route, team, policy,
				table.priority(policy, route, team), table.version(), now);
		RouterException suspected = this.components.suspects().refusal(context, now);
		if (suspected != null) {
			throw suspected;
		}
		if (team != null) {
			long waitNanos = this.components.limits().tryTake(team, team.cost(facts.statedTokens()), now);
			if (waitNanos > 0) {
				throw RouterException.retryAfter(ErrorType.RATE_LIMITED, Duration.ofNanos(waitNanos), team.name());
			}
		}
		this.components.retryBudget().recordRequest(policy.name(), now);
		Exchange exchange = (route.kind() == RouteKind.STREAM && policy.engine() != null)
				? new StreamExchange(this.components, context, response, this.open, policy.engine())
				: new ServiceExchange(this.components, context, response, this.open);
		exchange.start();
	}

	private @Nullable TeamPolicy team(RoutingTable table, ServiceRoute route, RequestFacts facts, long now) {
		if (table.teams().isEmpty() || route.withoutKey()) {
			return null;
		}
		if (!this.components.state().freshness().fresh(now, System.currentTimeMillis())) {
			throw RouterException.retryAfter(ErrorType.STALE_KEY_STATE, DEFAULT_RETRY_AFTER, "any");
		}
		String key = facts.key();
		TeamPolicy team = (key != null) ? table.team(key) : null;
		if (team == null) {
			throw new RouterException(ErrorType.UNAUTHENTICATED);
		}
		HeaderObstacle obstacle = team.nameObstacle();
		if (obstacle != null) {
			throw new RouterException(ErrorType.TEAM_NAME_UNUSABLE, QuotedText.of(team.name()), obstacle.description());
		}
		return team;
	}

	static void refuse(GatewayComponents components, RequestFacts facts, CallerResponse response,
			RouterException failure) {
		HttpHeaders headers = components.dialect().gatewayResponseHeaders(facts.requestId());
		Duration retryAfter = failure.retryAfter();
		if (retryAfter != null) {
			headers.set(HttpHeaderNames.RETRY_AFTER,
					"%.3f".formatted((double) retryAfter.toMillis() / MILLIS_PER_SECOND));
		}
		response.send(failure.httpStatus(), headers,
				("%d %s%n".formatted(failure.type().code(), failure.getMessage())).getBytes(StandardCharsets.UTF_8));
	}

}
