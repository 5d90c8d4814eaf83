package org.skylarkstack.schedule;

import org.skylarkstack.peer.PeerMessage;

/**
 * Offer of a request to the soft owner of its model. It is repeated while the request
 * waits; the owner keeps one entry for each request.
 *
 * @param request the request
 * @param incarnation the random number of the sending daemon's start
 * @param ageNanos the time since the request arrived at the sending VM
 */
public record PlacementOffer(PlacementRequest request, long incarnation, long ageNanos) implements PeerMessage {

}
