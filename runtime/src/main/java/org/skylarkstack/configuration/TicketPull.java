package org.skylarkstack.configuration;

import org.skylarkstack.peer.PeerMessage;

/**
 * Asks a peer for the tickets after a number and for its evidence of the head.
 *
 * @param pullId identifies the pull in the answer; not 0
 * @param afterNumber the number up to which the sender has all tickets
 */
public record TicketPull(long pullId, long afterNumber) implements PeerMessage {

}
