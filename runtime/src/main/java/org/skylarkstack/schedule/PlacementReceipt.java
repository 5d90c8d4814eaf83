package org.skylarkstack.schedule;

import java.util.List;

import org.skylarkstack.peer.PeerMessage;

/**
 * Confirmation that requests are queued at the sender.
 *
 * @param requestIds the requests
 */
public record PlacementReceipt(List<String> requestIds) implements PeerMessage {

	/** Copies the list. */
	public PlacementReceipt {
		requestIds = List.copyOf(requestIds);
	}

}
