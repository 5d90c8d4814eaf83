package org.skylarkstack.configuration;

import java.util.List;

/**
 * Numbered set of changes to the configuration.
 *
 * @param number the number; tickets are numbered from 1 without gaps
 * @param author the operator who submitted it
 * @param changes the complete new state of each object that the ticket changes
 */
public record Ticket(long number, String author, List<TicketChange> changes) {

	/** Checks the number and copies the changes. */
	public Ticket {
		if (number <= 0) {
			throw new IllegalArgumentException("a ticket number must be positive");
		}
		changes = List.copyOf(changes);
	}

}
