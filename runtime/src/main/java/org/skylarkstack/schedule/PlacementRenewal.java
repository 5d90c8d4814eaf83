package org.skylarkstack.schedule;

import java.util.List;

import org.skylarkstack.peer.PeerMessage;

/**
 * Message that renews the grants that the sender holds for a model.
 *
 * @param model the name of the model
 * @param incarnation the random number that identifies this start of the sending daemon
 * @param held the grants
 */
public record PlacementRenewal(String model, long incarnation, List<HeldPlacement> held) implements PeerMessage {

	/** Copies the list. */
	public PlacementRenewal {
		held = List.copyOf(held);
	}

}
