package org.skylarkstack.gateway;

import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * Team with its keys and its fleet-wide limit.
 *
 * @param name the name
 * @param keys the keys that are granted
 * @param priority the rank of the team's requests, or {@code null} to use the route's
 * @param countsTokens whether the limit counts tokens rather than requests
 * @param plainTokens the tokens of a request that states none
 * @param ratePerSecond the limit per second; 0 means no limit
 * @param burst what may be used beyond the rate at once
 */
public record TeamPolicy(String name, Set<String> keys, @Nullable Integer priority, boolean countsTokens,
		long plainTokens, double ratePerSecond, double burst) {

	/**
	 * Creates a team.
	 */
	public TeamPolicy {
		keys = Set.copyOf(keys);
	}

	/**
	 * Returns what a request counts against the limit.
	 * @param statedTokens the tokens that the request states, or a negative number
	 * @return the units
	 */
	public double cost(long statedTokens) {
		if (!this.countsTokens) {
			return 1;
		}
		return (statedTokens >= 0) ? statedTokens : this.plainTokens;
	}

}
