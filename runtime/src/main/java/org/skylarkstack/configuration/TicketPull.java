package org.skylarkstack.configuration;

import org.skylarkstack.peer.PeerMessage;

/**
 * Message that requests from a peer the tickets after a number and its evidence of the
 * last recorded ticket.
 *
 * @param pullId the identifier of the pull, repeated in the response; never 0
 * @param afterNumber the number up to which the sender has all tickets
 */
public record TicketPull(long pullId, long afterNumber) implements PeerMessage {

}
