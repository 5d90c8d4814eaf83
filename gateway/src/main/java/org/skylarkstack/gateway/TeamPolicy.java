package org.skylarkstack.gateway;

import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.text.HeaderObstacle;

/**
 * Configuration of a team: its keys, its priority and its fleet-wide limit. The limit
 * counts units, which are either tokens or requests. Requests of a team whose name cannot
 * be sent to servers are refused.
 *
 * @param name the name of the team
 * @param keys the valid keys of the team
 * @param priority the priority of the team's requests, 0 being the most urgent, or
 * {@code null} to use that of the route
 * @param countsTokens whether the limit counts tokens rather than requests
 * @param defaultTokens the number of tokens counted for a request that states none
 * @param ratePerSecond the limit in units per second; 0 means no limit
 * @param burst the number of units that may be used in a burst beyond the rate
 */
public record TeamPolicy(String name, Set<String> keys, @Nullable Integer priority, boolean countsTokens,
		long defaultTokens, double ratePerSecond, double burst) {

	/**
	 * Creates a team with a copy of its keys.
	 */
	public TeamPolicy {
		keys = Set.copyOf(keys);
	}

	/**
	 * Returns why servers would not get the name of this team as it is.
	 * @return the obstacle, or {@code null} if there is none
	 */
	public @Nullable HeaderObstacle nameObstacle() {
		return HeaderObstacle.of(this.name);
	}

	/**
	 * Returns the units that a request counts against the limit.
	 * @param statedTokens the tokens that the request states, or a negative number if it
	 * states none
	 * @return the number of tokens, or 1 if the limit counts requests
	 */
	public double cost(long statedTokens) {
		if (!this.countsTokens) {
			return 1;
		}
		return (statedTokens >= 0) ? statedTokens : this.defaultTokens;
	}

}
