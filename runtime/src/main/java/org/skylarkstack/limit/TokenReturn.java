package org.skylarkstack.limit;

import java.util.List;

import org.skylarkstack.peer.PeerMessage;

/**
 * Return of tokens to a team's soft owner: either unspent tokens of grants or a refund of
 * a settled reservation.
 *
 * @param teamId the team
 * @param tokens the tokens returned
 * @param ownerIncarnation the owner's incarnation in the last heartbeat that the sender
 * received
 * @param ownerNanos the owner's timestamp in its last heartbeat, which precedes the
 * return
 * @param balances the unspent tokens that remain of the grants after the return, empty
 * for a refund
 */
public record TokenReturn(String teamId, long tokens, long ownerIncarnation, long ownerNanos,
		List<GrantBalance> balances) implements PeerMessage {

	/** Copies the balances. */
	public TokenReturn {
		balances = List.copyOf(balances);
	}

}
