package org.skylarkstack.configuration;

import java.util.List;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.peer.PeerMessage;

/**
 * Tickets for a peer, newly learned or asked for.
 *
 * @param pullId the pull that this answers, or 0
 * @param tickets the tickets in JSON
 * @param appliedNumber the number up to which the sender has all tickets
 * @param evidence the sender's evidence of the head, or {@code null}
 */
public record TicketPush(long pullId, List<String> tickets, long appliedNumber,
		@Nullable HeadEvidence evidence) implements PeerMessage {

	/** Copies the list. */
	public TicketPush {
		tickets = List.copyOf(tickets);
	}

}
