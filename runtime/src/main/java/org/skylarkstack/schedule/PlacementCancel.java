package org.skylarkstack.schedule;

import org.skylarkstack.peer.PeerMessage;

/**
 * Withdrawal of a request that got no answer yet. A grant that crosses it is released by
 * {@link PlacementEnd}.
 *
 * @param requestId the request
 * @param model the model
 */
public record PlacementCancel(String requestId, String model) implements PeerMessage {

}
