package org.skylarkstack.configuration;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Ticket as an operator wrote it, possibly with faults.
 *
 * @param number the number, or 0 if it cannot be read
 * @param author the operator, or an empty string if it cannot be read
 * @param changes the changes that can be read
 * @param unreadable the objects set by changes that cannot be read, each with the objects
 * that it refers to
 * @param problems the faults found while reading
 */
public record TicketDraft(long number, String author, List<TicketChange> changes,
		Map<ObjectKey, Set<ObjectKey>> unreadable, List<String> problems) {

	/** Copies the collections. */
	public TicketDraft {
		changes = List.copyOf(changes);
		unreadable = Map.copyOf(unreadable);
		problems = List.copyOf(problems);
	}

	Ticket ticket() {
		return new Ticket(this.number, this.author, this.changes);
	}

}
