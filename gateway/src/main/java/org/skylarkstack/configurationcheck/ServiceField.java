package org.skylarkstack.configurationcheck;

import java.util.function.Function;

import org.skylarkstack.gateway.EngineProfile;
import org.skylarkstack.gateway.ServicePolicy;

/**
 * Fields of services other than the name.
 */
public enum ServiceField implements Field<ServicePolicy> {

	/** Number of connections that each server accepts. */
	MAX_CONNECTIONS(ServicePolicy::maxConnections),

	/** Number of requests that an engine runs concurrently. */
	SLOTS((service) -> ofEngine(service, EngineProfile::slots)),

	/** Capacity of an engine's KV cache in tokens. */
	KV_TOKENS((service) -> ofEngine(service, EngineProfile::kvTokens)),

	/** Largest number of tokens in one event. */
	TOKENS_PER_EVENT((service) -> ofEngine(service, EngineProfile::tokensPerEvent)),

	/** Time that an engine keeps a prefill result, in seconds. */
	PREFILL_RESULT_TTL((service) -> ofEngine(service, ServiceField::prefillResultTtlSeconds)),

	/** Time that a server is slow after its start, in seconds. */
	COLD_START((service) -> service.cold().startSeconds()),

	/** Requests per second that a cold server tolerates. */
	COLD_RATE((service) -> Double.isFinite(service.cold().perSecond()) ? service.cold().perSecond() : "none");

	private static final double MILLIS_PER_SECOND = 1_000;

	private final Function<ServicePolicy, Object> value;

	ServiceField(Function<ServicePolicy, Object> value) {
		this.value = value;
	}

	private static Object ofEngine(ServicePolicy service, Function<EngineProfile, Object> value) {
		EngineProfile engine = service.engine();
		return (engine != null) ? value.apply(engine) : "none";
	}

	private static double prefillResultTtlSeconds(EngineProfile engine) {
		return engine.prefillResultTtlMillis() / MILLIS_PER_SECOND;
	}

	@Override
	public Object value(ServicePolicy service) {
		return this.value.apply(service);
	}

}
