package org.skylarkstack.schedule;

import org.skylarkstack.peer.PeerMessage;

/**
 * Confirmation of {@link PlacementEnd}.
 *
 * @param requestId the request
 * @param grantId the number of the grant
 */
public record PlacementEndReceipt(String requestId, long grantId) implements PeerMessage {

}
