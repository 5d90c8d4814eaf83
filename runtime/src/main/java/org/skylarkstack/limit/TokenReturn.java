package org.skylarkstack.limit;

import java.util.List;

import org.skylarkstack.peer.PeerMessage;

/**
 * Returns tokens to a team's soft owner: unspent grants and refunds of settled
 * reservations.
 *
 * @param teamId the team
 * @param tokens the tokens returned
 * @param ownerIncarnation the owner's incarnation that the sender heard from last
 * @param ownerNanos the owner's timestamp in its last heartbeat, which precedes the
 * return
 * @param balances what is left of grants after the return
 */
public record TokenReturn(String teamId, long tokens, long ownerIncarnation, long ownerNanos,
		List<GrantBalance> balances) implements PeerMessage {

	/** Copies the balances. */
	public TokenReturn {
		balances = List.copyOf(balances);
	}

}
