package org.skylarkstack.schedule;

import java.util.List;

import org.skylarkstack.peer.PeerMessage;

/**
 * Renewal of the grants that the sender holds for a model.
 *
 * @param model the model
 * @param incarnation the random number of the sending daemon's start
 * @param held the grants
 */
public record PlacementRenewal(String model, long incarnation, List<HeldPlacement> held) implements PeerMessage {

	/** Copies the list. */
	public PlacementRenewal {
		held = List.copyOf(held);
	}

}
