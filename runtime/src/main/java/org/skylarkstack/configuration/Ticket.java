package org.skylarkstack.configuration;

import java.util.List;

/**
 * Numbered change of the configuration.
 *
 * @param number the number; tickets are numbered from 1 without gaps
 * @param author the operator
 * @param changes the whole new state of each object that the ticket touches
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
