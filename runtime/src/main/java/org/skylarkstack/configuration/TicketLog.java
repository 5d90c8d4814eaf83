package org.skylarkstack.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.LongPredicate;
import java.util.function.Supplier;

import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.store.Row;
import org.skylarkstack.store.StoreException;
import org.skylarkstack.store.TableStore;
import org.skylarkstack.store.WriteEffect;

/**
 * Log of all tickets, stored in the platform's table service.
 *
 * <p>
 * Invariants:
 * <ul>
 * <li>One transaction advances the head row and inserts the ticket, so that two tickets
 * never get the same number and the numbers have no gaps.</li>
 * <li>A ticket is validated against the configuration as of exactly the preceding ticket;
 * the transaction fails if another ticket has been recorded in the meantime.</li>
 * <li>A write with unknown effect may still be applied at any later time. The outcome is
 * resolved by reading the ticket back and then by writing again: only one of the writes
 * can find the head at the preceding number.</li>
 * <li>This class leaves an empty configuration holder empty until it has read the log to
 * its end once and the condition of {@link #publishFirstWhen(LongPredicate)} holds. A
 * daemon therefore never serves with an old configuration in which withdrawn keys still
 * work.</li>
 * <li>After the platform restored the store from an older copy, the tickets that are in
 * force on this daemon stay in force and are recorded again.</li>
 * </ul>
 */
public final class TicketLog implements TicketService {

	private static final int PAGE_ROWS = 1_000;

	/**
	 * Total length in characters of the ticket bodies that are merged in one batch;
	 * bounds the memory used while the log is loaded.
	 */
	private static final long BATCH_CHARACTERS = 8L * 1024 * 1024;

	private static final int WRITE_ATTEMPTS = 3;

	private final TicketCodec codec = new TicketCodec();

	private final TicketValidator validator = new TicketValidator();

	private final List<Consumer<List<Ticket>>> listeners = new CopyOnWriteArrayList<>();

	private final TableStore store;

	private final ConfigurationHolder configuration;

	private final TicketLogRecovery recovery;

	private volatile LongPredicate publishesFirst = (number) -> true;

	private Configuration unpublished = Configuration.EMPTY;

	/**
	 * Creates a log.
	 * @param store the platform's table service
	 * @param configuration receives the recorded tickets
	 */
	public TicketLog(TableStore store, ConfigurationHolder configuration) {
		this.store = store;
		this.configuration = configuration;
		this.recovery = new TicketLogRecovery(store, configuration);
	}

	/**
	 * Adds a listener for tickets that were read from the store or recorded by this
	 * daemon.
	 * @param listener called on the reading or submitting thread; must not block
	 */
	public void onNewTickets(Consumer<List<Ticket>> listener) {
		this.listeners.add(listener);
	}

	/**
	 * Sets the condition under which the first configuration that was read from the store
	 * comes into force.
	 * @param condition receives the number of the last ticket in the store
	 */
	public void publishFirstWhen(LongPredicate condition) {
		this.publishesFirst = condition;
	}

	@Override
	public Ticket submit(TicketDraft draft) {
		if (!translateStoreException(this::catchUpAndRecover)) {
			throw new RouterException(ErrorType.STORE_UNAVAILABLE);
		}
		Configuration before = this.configuration.current();
		if (draft.number() > 0 && draft.number() <= before.appliedNumber()) {
			return translateStoreException(() -> recordedOrConflict(draft));
		}
		if (draft.number() > before.appliedNumber() + 1) {
			throw new RouterException(ErrorType.TICKET_CONFLICT, draft.number(), "the next number is "
					+ (before.appliedNumber() + 1) + translateStoreException(() -> lastRecorded(before)));
		}
		Ticket ticket = (draft.number() > 0) ? draft.ticket() : new Ticket(1, draft.author(), draft.changes());
		String body = this.codec.write(ticket);
		List<String> problems = this.validator.problems(draft, before, body);
		if (!problems.isEmpty()) {
			throw new RouterException(ErrorType.TICKET_INVALID, draft.number(), String.join("; ", problems));
		}
		Ticket recorded = record(draft, body);
		this.configuration.recentTickets().add(recorded.number(), body);
		this.configuration.update((current) -> current.apply(recorded));
		this.listeners.forEach((listener) -> listener.accept(List.of(recorded)));
		return recorded;
	}

	private String lastRecorded(Configuration before) {
		return row(before.appliedNumber())
			.map((ticket) -> "; ticket %d was recorded by %s".formatted(ticket.number(), ticket.author()))
			.orElse("");
	}

	private Ticket record(TicketDraft draft, String body) {
		boolean mayBeApplied = false;
		for (int attempt = 1; attempt <= WRITE_ATTEMPTS; attempt++) {
			try {
				if (write(draft.number(), body)) {
					return draft.ticket();
				}
				boolean earlierMayBeApplied = mayBeApplied;
				mayBeApplied = true;
				if (row(draft.number()).isPresent()) {
					return recordedOrConflict(draft);
				}
				// The number is free, so the head is behind: the store was restored from
				// an older copy after the log was read.
				mayBeApplied = earlierMayBeApplied;
				recover();
			}
			catch (StoreException ex) {
				mayBeApplied |= ex.effect() == WriteEffect.UNKNOWN;
			}
			if (mayBeApplied && isRecorded(draft.number())) {
				return recordedOrConflict(draft);
			}
		}
		throw new RouterException(mayBeApplied ? ErrorType.TICKET_UNKNOWN : ErrorType.STORE_UNAVAILABLE,
				draft.number());
	}

	private boolean write(long number, String body) {
		return this.store.write(List.of(TicketRows.advanceHead(number - 1, number), TicketRows.insert(number, body)));
	}

	private boolean isRecorded(long number) {
		try {
			return row(number).isPresent();
		}
		catch (StoreException ex) {
			return false;
		}
	}

	private Ticket recordedOrConflict(TicketDraft draft) {
		Ticket stored = row(draft.number()).orElseThrow(() -> new RouterException(ErrorType.STORE_UNAVAILABLE));
		if (!draft.problems().isEmpty() || !contentHash(stored).equals(contentHash(draft.ticket()))) {
			throw new RouterException(ErrorType.TICKET_CONFLICT, draft.number(),
					"number %d was taken by %s".formatted(stored.number(), stored.author()));
		}
		return stored;
	}

	private Optional<Ticket> row(long number) {
		return TicketRows.readTicket(this.store, number).map(this::read);
	}

	@Override
	public Optional<Ticket> find(long number) {
		return translateStoreException(() -> row(number));
	}

	@Override
	public List<Ticket> history(long afterNumber, int limit) {
		return translateStoreException(() -> readAfter(afterNumber, limit).stream().map(this::read).toList());
	}

	private static <T> T translateStoreException(Supplier<T> action) {
		try {
			return action.get();
		}
		catch (StoreException ex) {
			throw RouterException.of(ErrorType.STORE_UNAVAILABLE, ErrorType.STORE_UNAVAILABLE.verdict(), ex);
		}
	}

	@Override
	public String contentHash(Ticket ticket) {
		return this.codec.contentHash(ticket);
	}

	/**
	 * Sets the configuration from which the first read of the log starts. It is not
	 * published before the later tickets have been read.
	 * @param snapshot the configuration read from a snapshot
	 */
	public synchronized void startFromSnapshot(Configuration snapshot) {
		this.unpublished = this.unpublished.merge(snapshot);
	}

	/**
	 * Reads and applies all recorded tickets that this daemon has not applied yet.
	 * @return the applied number; unless tickets are unpublished, all tickets that were
	 * recorded at some time during this call have been applied
	 * @throws StoreException if the store does not respond
	 */
	public synchronized long catchUp() {
		Configuration start = this.configuration.current();
		this.unpublished = start.merge(this.unpublished);
		boolean complete = false;
		try {
			readToEnd();
			complete = true;
		}
		finally {
			Configuration next = this.unpublished;
			if (start.appliedNumber() > 0 || (complete && this.publishesFirst.test(next.appliedNumber()))) {
				this.configuration.update((current) -> (current == start) ? next : current.merge(next));
				this.unpublished = Configuration.EMPTY;
			}
		}
		return this.configuration.current().appliedNumber();
	}

	/**
	 * Records the tickets again that are in force on this daemon and that the store has
	 * lost, and reads the log again if any were recorded.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @throws StoreException if the store does not respond
	 */
	public synchronized void recover(long nowNanos) {
		if (this.recovery.step(nowNanos)) {
			catchUp();
		}
	}

	private synchronized boolean catchUpAndRecover() {
		catchUp();
		recover();
		return unpublishedNumber() == 0;
	}

	/**
	 * Returns the number of the last ticket that was read and is not yet in force.
	 * @return the number, 0 if all tickets that were read are in force
	 */
	public synchronized long unpublishedNumber() {
		return this.unpublished.appliedNumber();
	}

	private synchronized void recover() {
		if (this.recovery.recover(false)) {
			catchUp();
		}
	}

	/**
	 * Returns the number of tickets that were in force on this daemon when it found that
	 * the store had lost them.
	 * @return the count since start
	 */
	public long lostTickets() {
		return this.recovery.lostTickets();
	}

	private void readToEnd() {
		List<Ticket> batch = new ArrayList<>();
		long characters = 0;
		long last = this.unpublished.appliedNumber();
		List<Row> rows = readAfter(last, PAGE_ROWS);
		try {
			while (!rows.isEmpty()) {
				for (Row row : rows) {
					Ticket ticket = read(row);
					batch.add(ticket);
					last = ticket.number();
					this.configuration.recentTickets().add(last, TicketRows.body(row));
					characters += TicketRows.body(row).length();
				}
				if (characters >= BATCH_CHARACTERS) {
					merge(batch);
					batch.clear();
					characters = 0;
				}
				rows = readAfter(last, PAGE_ROWS);
			}
		}
		finally {
			merge(batch);
		}
	}

	private void merge(List<Ticket> batch) {
		if (!batch.isEmpty()) {
			List<Ticket> newTickets = batch.stream()
				.filter((ticket) -> !this.unpublished.contains(ticket.number()))
				.toList();
			this.unpublished = this.unpublished.apply(batch);
			this.listeners.forEach((listener) -> listener.accept(newTickets));
		}
	}

	private List<Row> readAfter(long number, int limit) {
		return this.store.query(TicketRows.TICKET_PARTITION, TicketRows.sortKey(number), limit);
	}

	private Ticket read(Row row) {
		return this.codec.read(TicketRows.body(row));
	}

}
