package org.skylarkstack.limit;

import org.skylarkstack.peer.PeerMessage;

/**
 * Answer to a {@link TokenRequest}.
 *
 * @param incarnation the borrower's incarnation, as in the request
 * @param requestId the number of the request
 * @param sentNanos the borrower's timestamp, as in the request
 * @param teamId the team
 * @param grantId the number of the grant, unique for each owner
 * @param tokens the tokens granted, 0 if there were not enough
 * @param waitNanos how long it takes until there are enough, in nanoseconds
 */
public record TokenGrant(long incarnation, long requestId, long sentNanos, String teamId, long grantId, long tokens,
		long waitNanos) implements PeerMessage {

}
