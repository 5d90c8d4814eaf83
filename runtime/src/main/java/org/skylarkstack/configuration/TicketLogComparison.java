package org.skylarkstack.configuration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.NavigableSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Function;

import org.jspecify.annotations.Nullable;

/**
 * Compares the tickets that this daemon has applied with those that the store holds. They
 * differ only if the store was restored from an older copy.
 *
 * <p>
 * Cases:
 * <ul>
 * <li>Missing: the ticket has a higher number than the head of the store. It is recorded
 * again under its own number.</li>
 * <li>Replaced: the store holds another ticket under the number, recorded after the
 * restore. Both were accepted, and daemons may have applied either. A further ticket sets
 * each object that one of them changed, so that its number decides on all daemons: to the
 * state of the ticket in the store, which was accepted later, or else to the state that
 * this daemon has.</li>
 * <li>Settled: an object of a replaced ticket that a later ticket in the store has
 * set.</li>
 * </ul>
 */
final class TicketLogComparison {

	private final NavigableMap<Long, Ticket> applied;

	private final NavigableMap<Long, Ticket> stored;

	private final long head;

	private final NavigableSet<Long> replaced = new TreeSet<>();

	/**
	 * Creates a comparison of the same range of numbers.
	 * @param applied the tickets that this daemon has applied
	 * @param stored the tickets in the store, up to the head
	 * @param head the number of the last ticket in the store, 0 for none
	 * @param contentHash computes the hash of a ticket
	 */
	TicketLogComparison(NavigableMap<Long, Ticket> applied, NavigableMap<Long, Ticket> stored, long head,
			Function<Ticket, String> contentHash) {
		this.applied = new TreeMap<>(applied);
		this.stored = new TreeMap<>(stored);
		this.head = head;
		applied.forEach((number, ticket) -> {
			Ticket other = stored.get(number);
			if (other != null && !contentHash.apply(ticket).equals(contentHash.apply(other))) {
				this.replaced.add(number);
			}
		});
	}

	/**
	 * Returns the tickets that the store has lost and whose numbers are free.
	 * @return the tickets in ascending order
	 */
	List<Ticket> missing() {
		return List.copyOf(this.applied.tailMap(this.head, false).values());
	}

	/**
	 * Returns the numbers under which the store holds other tickets.
	 * @return the numbers in ascending order
	 */
	List<Long> replaced() {
		return List.copyOf(this.replaced);
	}

	/**
	 * Returns the states of the objects on which daemons may differ.
	 * @param current the configuration of this daemon
	 * @return the changes of the ticket that makes them equal, empty if there is none
	 */
	List<TicketChange> disputed(Configuration current) {
		if (this.replaced.isEmpty()) {
			return List.of();
		}
		Map<ObjectKey, TicketChange> changes = new LinkedHashMap<>();
		for (Long number : this.replaced) {
			changesOf(this.applied.get(number))
				.forEach((change) -> changes.put(change.key(), currentState(change.key(), current)));
		}
		for (Long number : this.replaced) {
			changesOf(this.stored.get(number)).forEach((change) -> changes.put(change.key(), change));
		}
		this.stored.tailMap(this.replaced.last(), false)
			.values()
			.forEach((ticket) -> ticket.changes().forEach((change) -> changes.remove(change.key())));
		return new ArrayList<>(changes.values());
	}

	private static List<TicketChange> changesOf(@Nullable Ticket ticket) {
		return (ticket != null) ? ticket.changes() : List.of();
	}

	private static TicketChange currentState(ObjectKey key, Configuration current) {
		VersionedObject state = current.objects().get(key);
		return new TicketChange(key, (state != null) ? state.object() : null);
	}

}
