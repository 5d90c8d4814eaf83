package org.skylarkstack.configuration;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Ticket as submitted by an operator, possibly invalid.
 *
 * @param number the number, or 0 if it is missing or invalid
 * @param author the operator, or an empty string if it is missing
 * @param changes the changes that could be parsed
 * @param unreadable the keys of the objects in changes that violate the schema, each with
 * the keys of the objects that it refers to
 * @param problems the problems found while parsing
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
