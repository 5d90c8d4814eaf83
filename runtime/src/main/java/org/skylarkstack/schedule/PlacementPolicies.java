package org.skylarkstack.schedule;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;

import org.skylarkstack.configuration.Configuration;
import org.skylarkstack.configuration.ConfigurationHolder;

/**
 * Placement policies by model. Each policy has the engines of the current configuration.
 */
final class PlacementPolicies {

	private final ConfigurationHolder configuration;

	private final Supplier<PlacementPolicy> factory;

	private final Map<String, PlacementPolicy> policies = new HashMap<>();

	private Configuration applied = Configuration.EMPTY;

	PlacementPolicies(ConfigurationHolder configuration, Supplier<PlacementPolicy> factory) {
		this.configuration = configuration;
		this.factory = factory;
	}

	/**
	 * Returns the policy of a model, and creates it if there is none.
	 * @param model the name of the model
	 * @param nowNanos the current time in nanoseconds
	 * @return the policy
	 */
	PlacementPolicy of(String model, long nowNanos) {
		refresh(nowNanos);
		return this.policies.computeIfAbsent(model, (key) -> {
			PlacementPolicy created = this.factory.get();
			created.setEngines(this.applied.engines(key), nowNanos);
			return created;
		});
	}

	/**
	 * Returns the policies that were created so far.
	 * @param nowNanos the current time in nanoseconds
	 * @return the policies by model
	 */
	Map<String, PlacementPolicy> all(long nowNanos) {
		refresh(nowNanos);
		return this.policies;
	}

	private void refresh(long nowNanos) {
		Configuration current = this.configuration.current();
		if (current != this.applied) {
			this.applied = current;
			this.policies.forEach((model, policy) -> policy.setEngines(current.engines(model), nowNanos));
		}
	}

}
