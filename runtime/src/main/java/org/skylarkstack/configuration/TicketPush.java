package org.skylarkstack.configuration;

import java.util.List;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.peer.PeerMessage;

/**
 * Message that carries tickets to a peer, either because they are new or in response to a
 * pull.
 *
 * @param pullId the identifier of the pull to which this is the response, or 0 for none
 * @param tickets the tickets in JSON
 * @param appliedNumber the number up to which the sender has all tickets
 * @param evidence the sender's evidence of the last recorded ticket, or {@code null} for
 * none
 */
public record TicketPush(long pullId, List<String> tickets, long appliedNumber,
		@Nullable HeadEvidence evidence) implements PeerMessage {

	/** Copies the list. */
	public TicketPush {
		tickets = List.copyOf(tickets);
	}

}
