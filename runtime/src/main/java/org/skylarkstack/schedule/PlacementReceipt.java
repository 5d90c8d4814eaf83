package org.skylarkstack.schedule;

import java.util.List;

import org.skylarkstack.peer.PeerMessage;

/**
 * Message that confirms that requests have reached the sender or are queued there.
 *
 * @param requestIds the identifiers of the requests
 */
public record PlacementReceipt(List<String> requestIds) implements PeerMessage {

	/** Copies the list. */
	public PlacementReceipt {
		requestIds = List.copyOf(requestIds);
	}

}
