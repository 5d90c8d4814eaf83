package org.skylarkstack.limit;

import org.skylarkstack.configuration.Team;

/**
 * Admits requests within the fleet-wide rate and burst of their team.
 */
public interface TeamLimiter {

	/**
	 * Reserves tokens. May wait a few milliseconds for a grant from the soft owner.
	 * @param team the team
	 * @param tokens the prompt tokens and the bound of the output tokens
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the reservation, to be settled exactly once
	 * @throws org.skylarkstack.kernel.RouterException with {@code RATE_LIMITED} if the
	 * team has no tokens left
	 */
	TokenReservation reserve(Team team, long tokens, long nowNanos);

	/**
	 * Ends a reservation and returns what was not used. A second call has no effect.
	 * @param reservation the reservation
	 * @param usedTokens the tokens used, at most those reserved
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void settle(TokenReservation reservation, long usedTokens, long nowNanos);

}
