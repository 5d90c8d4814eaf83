package org.skylarkstack.configurationcheck;

import java.util.Locale;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.skylarkstack.gateway.ServiceRoute;

/**
 * Fields of routes other than the name.
 */
public enum RouteField implements Field<ServiceRoute> {

	/** Host. */
	HOST(ServiceRoute::host),

	/** Path prefix. */
	PREFIX(ServiceRoute::prefix),

	/** Whether requests may be repeated. */
	KIND((route) -> route.kind().name().toLowerCase(Locale.ROOT).replace('_', '-')),

	/** Services with their weights. */
	SERVICES((route) -> route.services()
		.stream()
		.map((target) -> "%s:%d".formatted(target.service(), target.weight()))
		.collect(Collectors.joining(","))),

	/** Maximum number of attempts. */
	MAX_ATTEMPTS(ServiceRoute::maxAttempts),

	/** Timeout in milliseconds. */
	TIMEOUT(ServiceRoute::timeoutMillis),

	/** Latency target in milliseconds. */
	TARGET(ServiceRoute::targetMillis),

	/** Target for the time between two events in milliseconds. */
	TARGET_GAP(ServiceRoute::targetGapMillis),

	/** Priority. */
	PRIORITY(ServiceRoute::priority),

	/** Whether requests need no key. */
	WITHOUT_KEY(ServiceRoute::withoutKey),

	/** Whether streams may be resumed. */
	RESUMABLE(ServiceRoute::resumable);

	private final Function<ServiceRoute, Object> value;

	RouteField(Function<ServiceRoute, Object> value) {
		this.value = value;
	}

	@Override
	public Object value(ServiceRoute route) {
		return this.value.apply(route);
	}

}
