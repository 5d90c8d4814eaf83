package org.skylarkstack.schedule;

import org.skylarkstack.peer.PeerMessage;

/**
 * Message that confirms a {@link PlacementEnd}.
 *
 * @param requestId the identifier of the request
 * @param grantId the identifier of the grant at the sender
 */
public record PlacementEndReceipt(String requestId, long grantId) implements PeerMessage {

}
