package org.skylarkstack.schedule;

import org.skylarkstack.peer.PeerMessage;

/**
 * Message that withdraws a request before it is granted or refused. If the owner grants
 * the request before this message arrives, the grant is released by {@link PlacementEnd}.
 *
 * @param requestId the identifier of the request
 * @param model the name of the model
 */
public record PlacementCancel(String requestId, String model) implements PeerMessage {

}
