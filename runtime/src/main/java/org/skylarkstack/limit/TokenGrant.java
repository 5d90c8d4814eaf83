package org.skylarkstack.limit;

import org.skylarkstack.peer.PeerMessage;

/**
 * Response to a {@link TokenRequest}.
 *
 * @param incarnation the borrower's incarnation, as in the request
 * @param requestId the number of the request, as in the request
 * @param sentNanos the borrower's timestamp, as in the request
 * @param teamId the team
 * @param grantId the number of the grant, unique for each owner
 * @param tokens the tokens granted, 0 if the owner has fewer than are needed
 * @param waitNanos the time in nanoseconds after which the owner expects to have enough
 * tokens, 0 if it granted the needed tokens
 */
public record TokenGrant(long incarnation, long requestId, long sentNanos, String teamId, long grantId, long tokens,
		long waitNanos) implements PeerMessage {

}
