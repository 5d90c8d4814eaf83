package org.skylarkstack.schedule;

import org.skylarkstack.peer.PeerMessage;

/**
 * Engines for a request. The grant has a term and is renewed by its holder.
 *
 * @param placement the engines
 * @param grantId the number of the grant at its owner
 */
public record PlacementGrant(Placement placement, long grantId) implements PeerMessage {

}
