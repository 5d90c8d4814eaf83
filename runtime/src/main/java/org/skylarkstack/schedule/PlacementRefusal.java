package org.skylarkstack.schedule;

import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.peer.PeerMessage;

/**
 * Refusal of a request, which has not run.
 *
 * @param requestId the request
 * @param reason the reason
 */
public record PlacementRefusal(String requestId, ErrorType reason) implements PeerMessage {

}
