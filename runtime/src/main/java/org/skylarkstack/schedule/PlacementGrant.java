package org.skylarkstack.schedule;

import org.skylarkstack.peer.PeerMessage;

/**
 * Message that grants engines to a request. The grant expires after its term unless its
 * holder renews it.
 *
 * @param placement the engines
 * @param grantId the identifier of the grant at its owner
 */
public record PlacementGrant(Placement placement, long grantId) implements PeerMessage {

}
