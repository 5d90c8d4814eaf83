package org.skylarkstack.schedule;

import org.skylarkstack.peer.PeerMessage;

/**
 * End of a grant. It is repeated until {@link PlacementEndReceipt} arrives.
 *
 * @param requestId the request
 * @param model the model
 * @param grantId the number of the grant at its owner
 * @param release why and with how many tokens the request ended
 */
public record PlacementEnd(String requestId, String model, long grantId,
		PlacementRelease release) implements PeerMessage {

}
