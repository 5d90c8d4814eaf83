package org.skylarkstack.limit;

import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Tokens reserved for one request.
 */
public final class TokenReservation {

	private final String teamId;

	private final long tokens;

	private final AtomicBoolean settled = new AtomicBoolean();

	/**
	 * Creates a reservation.
	 * @param teamId the team's identifier
	 * @param tokens the reserved tokens
	 */
	public TokenReservation(String teamId, long tokens) {
		this.teamId = teamId;
		this.tokens = tokens;
	}

	/**
	 * Returns the team.
	 * @return the team's identifier
	 */
	public String teamId() {
		return this.teamId;
	}

	/**
	 * Returns the reserved tokens.
	 * @return the number of tokens
	 */
	public long tokens() {
		return this.tokens;
	}

	/**
	 * Marks the reservation as settled.
	 * @return whether this call was the first
	 */
	public boolean markSettled() {
		return this.settled.compareAndSet(false, true);
	}

}
