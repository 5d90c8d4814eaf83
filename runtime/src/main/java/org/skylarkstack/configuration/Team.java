package org.skylarkstack.configuration;

import org.jspecify.annotations.Nullable;

/**
 * Team with its limits, which apply to the whole fleet.
 *
 * @param id the identifier
 * @param tokensPerSecond the rate limit in tokens per second
 * @param burstTokens the burst size in tokens
 * @param weight the team's share of the engines under contention, relative to other teams
 * @param staleKeyLimitSeconds the age of the key state in seconds above which requests
 * are refused, or {@code null} for no limit
 */
public record Team(String id, long tokensPerSecond, long burstTokens, double weight,
		@Nullable Integer staleKeyLimitSeconds) implements ConfigurationObject {

	/** Rejects limits and weights that are not positive. */
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
