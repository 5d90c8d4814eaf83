package org.skylarkstack.schedule;

import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.peer.PeerMessage;

/**
 * Message that refuses a request. A refused request has not run.
 *
 * @param requestId the identifier of the request
 * @param reason the reason of the refusal
 */
public record PlacementRefusal(String requestId, ErrorType reason) implements PeerMessage {

}
