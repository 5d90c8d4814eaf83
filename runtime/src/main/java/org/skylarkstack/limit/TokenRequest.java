package org.skylarkstack.limit;

import java.util.List;

import org.skylarkstack.peer.PeerMessage;

/**
 * Asks a team's soft owner for tokens and reports what is left of earlier grants.
 *
 * @param incarnation the borrower's incarnation
 * @param requestId the number of the request
 * @param sentNanos the borrower's monotonic time in nanoseconds, from which it counts the
 * term of the grant
 * @param teamId the team
 * @param neededTokens the tokens needed at once, granted whole or not at all
 * @param wantedTokens the tokens wanted in advance
 * @param balances what is left of earlier grants
 */
public record TokenRequest(long incarnation, long requestId, long sentNanos, String teamId, long neededTokens,
		long wantedTokens, List<GrantBalance> balances) implements PeerMessage {

	/** Copies the balances. */
	public TokenRequest {
		balances = List.copyOf(balances);
	}

}
