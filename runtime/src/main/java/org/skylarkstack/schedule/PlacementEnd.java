package org.skylarkstack.schedule;

import org.skylarkstack.peer.PeerMessage;

/**
 * Message that ends a grant. The holder repeats it until {@link PlacementEndReceipt}
 * arrives.
 *
 * @param requestId the identifier of the request
 * @param model the name of the model
 * @param grantId the identifier of the grant at its owner
 * @param release the tokens that were served and the engine that failed, if any
 */
public record PlacementEnd(String requestId, String model, long grantId,
		PlacementRelease release) implements PeerMessage {

}
