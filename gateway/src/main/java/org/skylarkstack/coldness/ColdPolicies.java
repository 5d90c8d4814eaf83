package org.skylarkstack.coldness;

import java.util.Map;

/**
 * The policies of all services for cold servers, and the bounds of the platform. Confined
 * to one thread.
 */
public final class ColdPolicies {

	private final ColdBounds bounds;

	private Map<String, ColdPolicy> byService = Map.of();

	/**
	 * Creates policies under which no server is cold.
	 * @param bounds the bounds of the platform
	 */
	public ColdPolicies(ColdBounds bounds) {
		this.bounds = bounds;
	}

	/**
	 * Replaces the policies by those of a new configuration.
	 * @param policies the policies by name of the service
	 */
	public void replace(Map<String, ColdPolicy> policies) {
		this.byService = Map.copyOf(policies);
	}

	/**
	 * Returns whether servers of any service can be cold.
	 * @return whether at least one policy is enabled
	 */
	public boolean isAnyEnabled() {
		return this.byService.values().stream().anyMatch(ColdPolicy::isEnabled);
	}

	ColdPolicy of(String service) {
		return this.byService.getOrDefault(service, ColdPolicy.NONE);
	}

	ColdBounds bounds() {
		return this.bounds;
	}

}
