package org.skylarkstack.limit;

import java.util.List;

import org.skylarkstack.peer.PeerMessage;

/**
 * Request for tokens to a team's soft owner. It also reports the unspent tokens of
 * earlier grants.
 *
 * @param incarnation the borrower's incarnation
 * @param requestId the number of the request, unique within the borrower's incarnation; 0
 * for one that requests tokens only in advance
 * @param sentNanos the borrower's monotonic time in nanoseconds, from which it counts the
 * term of the grant
 * @param teamId the team
 * @param neededTokens the tokens needed immediately, granted all or none
 * @param wantedTokens the tokens wanted in advance
 * @param balances the unspent tokens of earlier grants, as far as they have changed
 */
public record TokenRequest(long incarnation, long requestId, long sentNanos, String teamId, long neededTokens,
		long wantedTokens, List<GrantBalance> balances) implements PeerMessage {

	/** Copies the balances. */
	public TokenRequest {
		balances = List.copyOf(balances);
	}

}
