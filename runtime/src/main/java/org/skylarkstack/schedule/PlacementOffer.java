package org.skylarkstack.schedule;

import org.skylarkstack.peer.PeerMessage;

/**
 * Message that offers a request to the soft owner of its model. The sender repeats it
 * when the owner's receipts stop; the owner keeps one entry for each request.
 *
 * @param request the request
 * @param incarnation the random number that identifies this start of the sending daemon
 * @param ageNanos the time in nanoseconds since the request arrived at the sending VM
 */
public record PlacementOffer(PlacementRequest request, long incarnation, long ageNanos) implements PeerMessage {

}
