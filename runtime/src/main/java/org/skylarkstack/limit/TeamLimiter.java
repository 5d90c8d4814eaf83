package org.skylarkstack.limit;

import org.skylarkstack.configuration.Team;

/**
 * Limits the requests of a team to its fleet-wide rate and burst of tokens.
 */
public interface TeamLimiter {

	/**
	 * Reserves tokens for a request. May wait a few milliseconds for a grant from the
	 * team's soft owner, and longer while the owner has not decided.
	 * @param team the team
	 * @param tokens the number of prompt tokens plus the upper bound of output tokens
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the reservation, to be settled exactly once
	 * @throws org.skylarkstack.kernel.RouterException with {@code RATE_LIMITED} if the
	 * team has too few tokens left
	 */
	TokenReservation reserve(Team team, long tokens, long nowNanos);

	/**
	 * Settles a reservation and returns its unused tokens. A second call for the same
	 * reservation has no effect.
	 * @param reservation the reservation
	 * @param usedTokens the tokens used, at most those reserved
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void settle(TokenReservation reservation, long usedTokens, long nowNanos);

}
