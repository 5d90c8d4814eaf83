package org.skylarkstack.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicLong;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.store.Row;
import org.skylarkstack.store.RowWrite;
import org.skylarkstack.store.StoreException;
import org.skylarkstack.store.TableStore;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Detects that the platform restored the table service from an older copy, and records
 * the tickets again that are in force on this daemon and missing in the store.
 *
 * <p>
 * Invariants:
 * <ul>
 * <li>The applied number is read before the head. A ticket is recorded before any daemon
 * applies it, so a head below that number proves that the store has lost tickets.</li>
 * <li>Each write is conditional on the head. Daemons that recover at the same time, and
 * operators who submit meanwhile, get one winner; the others read the log again.</li>
 * <li>The missing tickets and the ticket that settles replaced ones are recorded in one
 * transaction where they fit into it.</li>
 * </ul>
 *
 * Not thread-safe. Calls block on the store.
 */
final class TicketLogRecovery {

	private static final Logger LOG = LoggerFactory.getLogger(TicketLogRecovery.class);

	/**
	 * Time between two comparisons while the head is not behind; with two polls and the
	 * exchange between daemons, a settling ticket is in force within 14 s.
	 */
	static final long COMPARISON_PERIOD_NANOS = Duration.ofSeconds(8).toNanos();

	/** Maximum number of tickets up to the head that are compared. */
	static final int COMPARED_TICKETS = 32;

	/** Maximum total length of the compared tickets in characters, beyond the first. */
	private static final long COMPARED_CHARACTERS = 64L * 1024;

	/** Author of tickets that no operator has submitted. */
	static final String AUTHOR = "skylarkstack";

	// Limits of a transaction in DynamoDB: 100 actions and 4 MB.
	private static final int TRANSACTION_TICKETS = 50;

	private static final long TRANSACTION_CHARACTERS = 1024L * 1024;

	private static final int MAX_DISPUTED_OBJECTS = 100;

	private static final int MAX_ROUNDS = 20;

	/**
	 * Maximum number of tickets that are recorded again; a table that lacks more is not a
	 * copy that is some seconds old.
	 */
	static final int MAX_MISSING_TICKETS = 500;

	private final TicketCodec codec = new TicketCodec();

	private final Set<Long> reported = new HashSet<>();

	private final AtomicLong lostTickets = new AtomicLong();

	private final TableStore store;

	private final ConfigurationHolder configuration;

	private @Nullable Long nextComparisonNanos;

	TicketLogRecovery(TableStore store, ConfigurationHolder configuration) {
		this.store = store;
		this.configuration = configuration;
	}

	/**
	 * Returns the number of tickets that were in force on this daemon when it found that
	 * the store had lost them.
	 * @return the count since start
	 */
	long lostTickets() {
		return this.lostTickets.get();
	}

	/**
	 * Compares the head with the applied number, and periodically also the last tickets.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return whether tickets were recorded
	 * @throws StoreException if the store does not respond
	 */
	boolean step(long nowNanos) {
		Long next = this.nextComparisonNanos;
		boolean due = next == null || nowNanos - next >= 0;
		if (due) {
			this.nextComparisonNanos = nowNanos + COMPARISON_PERIOD_NANOS;
		}
		return recover(due);
	}

	/**
	 * Records missing tickets again.
	 * @param compare whether to compare the last tickets although the head is not behind
	 * @return whether tickets were recorded
	 * @throws StoreException if the store does not respond
	 */
	boolean recover(boolean compare) {
		boolean written = false;
		for (int round = 0; round < MAX_ROUNDS; round++) {
			Configuration current = this.configuration.current();
			long head = TicketRows.readHead(this.store);
			if (current.appliedNumber() <= head && !compare) {
				break;
			}
			if (current.appliedNumber() - head > MAX_MISSING_TICKETS) {
				reportForeignLog(current, head);
				break;
			}
			List<Ticket> tickets = compareWithStore(current, head);
			if (tickets.isEmpty()) {
				break;
			}
			written |= write(head, tickets);
			if (tickets.get(tickets.size() - 1).number() > current.appliedNumber()) {
				// The settling ticket is read with the next poll.
				break;
			}
		}
		return written;
	}

	private List<Ticket> compareWithStore(Configuration current, long head) {
		long common = Math.min(head, current.appliedNumber());
		long first = this.configuration.recentTickets().firstWithin(common, COMPARED_TICKETS, COMPARED_CHARACTERS);
		TicketLogComparison comparison = new TicketLogComparison(applied(current, first), stored(first, common), head,
				this.codec::contentHash);
		report(comparison, current, head);
		List<Ticket> tickets = firstOf(comparison.missing());
		// A settling ticket must not overwrite a ticket that this daemon has not read.
		if (tickets.size() == comparison.missing().size() && head <= current.appliedNumber()) {
			List<TicketChange> disputed = comparison.disputed(current);
			if (!disputed.isEmpty()) {
				tickets.add(new Ticket(current.appliedNumber() + 1, AUTHOR,
						disputed.subList(0, Math.min(disputed.size(), MAX_DISPUTED_OBJECTS))));
			}
		}
		return tickets;
	}

	private NavigableMap<Long, Ticket> applied(Configuration current, long first) {
		NavigableMap<Long, Ticket> tickets = new TreeMap<>();
		for (long number = first; number <= current.appliedNumber(); number++) {
			String body = this.configuration.recentTickets().body(number);
			tickets.put(number, (body != null) ? this.codec.read(body) : reconstruct(current, number));
		}
		return tickets;
	}

	// Contains the objects that the ticket has set and no later one has changed. Merging
	// it has the same effect as the ticket, because the later tickets are recorded as
	// well.
	private static Ticket reconstruct(Configuration current, long number) {
		List<TicketChange> changes = current.objects()
			.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().ticketNumber() == number)
			.map((entry) -> new TicketChange(entry.getKey(), entry.getValue().object()))
			.sorted(Comparator.comparing((TicketChange change) -> change.key().kind())
				.thenComparing((change) -> change.key().id()))
			.toList();
		return new Ticket(number, AUTHOR, changes);
	}

	private NavigableMap<Long, Ticket> stored(long first, long last) {
		NavigableMap<Long, Ticket> tickets = new TreeMap<>();
		long next = first;
		while (next <= last) {
			List<Row> rows = this.store.query(TicketRows.TICKET_PARTITION, TicketRows.sortKey(next - 1),
					(int) (last - next + 1));
			if (rows.isEmpty()) {
				break;
			}
			for (Row row : rows) {
				Ticket ticket = this.codec.read(TicketRows.body(row));
				tickets.put(ticket.number(), ticket);
				next = ticket.number() + 1;
			}
		}
		return tickets;
	}

	private List<Ticket> firstOf(List<Ticket> missing) {
		List<Ticket> first = new ArrayList<>();
		long characters = 0;
		for (Ticket ticket : missing) {
			characters += this.codec.write(ticket).length();
			if (first.size() == TRANSACTION_TICKETS || (characters > TRANSACTION_CHARACTERS && !first.isEmpty())) {
				break;
			}
			first.add(ticket);
		}
		return first;
	}

	private boolean write(long head, List<Ticket> tickets) {
		List<RowWrite> writes = new ArrayList<>();
		writes.add(TicketRows.advanceHead(head, tickets.get(tickets.size() - 1).number()));
		tickets.forEach((ticket) -> writes.add(TicketRows.insert(ticket.number(), this.codec.write(ticket))));
		boolean applied = this.store.write(writes);
		LOG.atWarn()
			.addKeyValue("event", "lost_tickets_recorded")
			.addKeyValue("first", tickets.get(0).number())
			.addKeyValue("last", tickets.get(tickets.size() - 1).number())
			.addKeyValue("applied", applied)
			.log();
		return applied;
	}

	private static void reportForeignLog(Configuration current, long head) {
		LOG.atError()
			.addKeyValue("event", "store_lost_too_many_tickets")
			.addKeyValue("head", head)
			.addKeyValue("applied", current.appliedNumber())
			.log();
	}

	private void report(TicketLogComparison comparison, Configuration current, long head) {
		Set<Long> lost = new HashSet<>(comparison.replaced());
		comparison.missing().forEach((ticket) -> lost.add(ticket.number()));
		this.reported.retainAll(lost);
		long found = lost.stream().filter(this.reported::add).count();
		if (found > 0) {
			this.lostTickets.addAndGet(found);
			LOG.atError()
				.addKeyValue("event", "store_lost_tickets")
				.addKeyValue("head", head)
				.addKeyValue("applied", current.appliedNumber())
				.addKeyValue("missing", comparison.missing().size())
				.addKeyValue("replaced", comparison.replaced())
				.log();
		}
	}

}
