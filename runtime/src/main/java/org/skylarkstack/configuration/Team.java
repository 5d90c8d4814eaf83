package org.skylarkstack.configuration;

import org.jspecify.annotations.Nullable;

/**
 * Team with its fleet-wide limits.
 *
 * @param id the identifier
 * @param tokensPerSecond the rate in tokens a second
 * @param burstTokens the burst in tokens
 * @param weight the share of the team when engines are scarce, relative to other teams
 * @param staleKeyLimitSeconds the age of key state in seconds past which requests are
 * refused, or {@code null} for no limit
 */
public record Team(String id, long tokensPerSecond, long burstTokens, double weight,
		@Nullable Integer staleKeyLimitSeconds) implements ConfigurationObject {

	/** Checks the limits. */
	public Team {
		if (tokensPerSecond <= 0 || burstTokens <= 0 || !(weight > 0) || Double.isInfinite(weight)) {
			throw new IllegalArgumentException("rate, burst and weight of team %s must be positive".formatted(id));
		}
	}

	@Override
	public ObjectKind objectKind() {
		return ObjectKind.TEAM;
	}

}
