package org.skylarkstack.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.store.Row;
import org.skylarkstack.store.RowCondition;
import org.skylarkstack.store.RowWrite;
import org.skylarkstack.store.StoreException;
import org.skylarkstack.store.TableStore;
import org.skylarkstack.store.WriteEffect;

/**
 * Log of tickets in the platform's table.
 *
 * <p>
 * Invariants:
 * <ul>
 * <li>One transaction advances the head and inserts the ticket, so two tickets never get
 * the same number and numbers have no gaps.</li>
 * <li>A ticket is validated against the configuration of exactly the ticket before it; a
 * ticket recorded meanwhile makes the transaction fail.</li>
 * <li>A write with unknown effect may land at any later time. It is settled by reading
 * back, then by writing again: only one of the writes can find the head at the former
 * number.</li>
 * <li>The configuration holder stays empty until the log has been read to its end once. A
 * daemon thus never serves with an old state in which withdrawn keys still work.</li>
 * </ul>
 */
public final class TicketLog implements TicketService {

	private static final String HEAD_PARTITION = "ticket-head";

	private static final String HEAD_SORT = "head";

	private static final String TICKET_PARTITION = "ticket";

	private static final String NUMBER = "number";

	private static final String BODY = "body";

	private static final int PAGE_ROWS = 1_000;

	/** Characters of ticket bodies merged at once; bounds the memory of a bulk load. */
	private static final long BULK_CHARACTERS = 8L * 1024 * 1024;

	private static final int WRITE_ATTEMPTS = 3;

	private final TicketCodec codec = new TicketCodec();

	private final TicketValidator validator = new TicketValidator();

	private final List<Consumer<List<Ticket>>> listeners = new CopyOnWriteArrayList<>();

	private final TableStore store;

	private final ConfigurationHolder configuration;

	private Configuration partial = Configuration.EMPTY;

	/**
	 * Creates a log.
	 * @param store the platform's table
	 * @param configuration receives accepted tickets
	 */
	public TicketLog(TableStore store, ConfigurationHolder configuration) {
		this.store = store;
		this.configuration = configuration;
	}

	/**
	 * Adds a listener that is told of tickets learned from the store.
	 * @param listener called on the learning thread; must not block
	 */
	public void onLearned(Consumer<List<Ticket>> listener) {
		this.listeners.add(listener);
	}

	@Override
	public Ticket submit(TicketDraft draft) {
		reading(this::catchUp);
		Configuration before = this.configuration.current();
		if (draft.number() > 0 && draft.number() <= before.appliedNumber()) {
			return reading(() -> recorded(draft));
		}
		if (draft.number() > before.appliedNumber() + 1) {
			throw new RouterException(ErrorType.TICKET_CONFLICT, draft.number(),
					"the next number is " + (before.appliedNumber() + 1) + reading(() -> lastRecorded(before)));
		}
		Ticket ticket = (draft.number() > 0) ? draft.ticket() : new Ticket(1, draft.author(), draft.changes());
		String body = this.codec.write(ticket);
		List<String> problems = this.validator.problems(draft, before, body);
		if (!problems.isEmpty()) {
			throw new RouterException(ErrorType.TICKET_INVALID, draft.number(), String.join("; ", problems));
		}
		Ticket recorded = record(draft, body);
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
		boolean mayLand = false;
		for (int attempt = 1; attempt <= WRITE_ATTEMPTS; attempt++) {
			try {
				if (write(draft.number(), body)) {
					return draft.ticket();
				}
				// The head only grows, so a refusal means that the number is taken.
				mayLand = true;
				return recorded(draft);
			}
			catch (StoreException ex) {
				mayLand |= ex.effect() == WriteEffect.UNKNOWN;
			}
			if (mayLand && isRecorded(draft.number())) {
				return recorded(draft);
			}
		}
		throw new RouterException(mayLand ? ErrorType.TICKET_UNKNOWN : ErrorType.STORE_UNAVAILABLE, draft.number());
	}

	private boolean write(long number, String body) {
		Row head = new Row(HEAD_PARTITION, HEAD_SORT, Map.of(NUMBER, Long.toString(number)));
		RowCondition advance = (number == 1) ? RowCondition.ABSENT
				: RowCondition.attributeEquals(NUMBER, Long.toString(number - 1));
		Row row = new Row(TICKET_PARTITION, sortKey(number), Map.of(BODY, body));
		return this.store.write(List.of(RowWrite.put(head, advance), RowWrite.put(row, RowCondition.ABSENT)));
	}

	private boolean isRecorded(long number) {
		try {
			return row(number).isPresent();
		}
		catch (StoreException ex) {
			return false;
		}
	}

	private Ticket recorded(TicketDraft draft) {
		Ticket winner = row(draft.number())
			.orElseThrow(() -> new IllegalStateException("ticket %d is missing".formatted(draft.number())));
		if (!draft.problems().isEmpty() || !contentHash(winner).equals(contentHash(draft.ticket()))) {
			throw new RouterException(ErrorType.TICKET_CONFLICT, draft.number(),
					"number %d was taken by %s".formatted(winner.number(), winner.author()));
		}
		return winner;
	}

	private Optional<Ticket> row(long number) {
		return this.store.get(TICKET_PARTITION, sortKey(number)).map(this::read);
	}

	@Override
	public Optional<Ticket> find(long number) {
		return reading(() -> row(number));
	}

	@Override
	public List<Ticket> history(long afterNumber, int limit) {
		return reading(() -> this.store.query(TICKET_PARTITION, sortKey(afterNumber), limit)
			.stream()
			.map(this::read)
			.toList());
	}

	private static <T> T reading(Supplier<T> action) {
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
	 * Sets the state from which the log is read first. It does not come into force before
	 * the later tickets have been read.
	 * @param snapshot the state of a snapshot
	 */
	public synchronized void startFrom(Configuration snapshot) {
		this.partial = this.partial.merge(snapshot);
	}

	/**
	 * Applies all recorded tickets that are not in force here yet.
	 * @return the number of the last ticket; it was the last one at some time during this
	 * call
	 * @throws StoreException if the store does not answer
	 */
	public synchronized long catchUp() {
		Configuration start = this.configuration.current();
		this.partial = start.merge(this.partial);
		boolean complete = false;
		try {
			readToEnd();
			complete = true;
		}
		finally {
			Configuration next = this.partial;
			if (complete || start.appliedNumber() > 0) {
				this.configuration.update((current) -> (current == start) ? next : current.merge(next));
				this.partial = Configuration.EMPTY;
			}
		}
		return this.configuration.current().appliedNumber();
	}

	private void readToEnd() {
		List<Ticket> bulk = new ArrayList<>();
		long characters = 0;
		long last = this.partial.appliedNumber();
		List<Row> rows = this.store.query(TICKET_PARTITION, sortKey(last), PAGE_ROWS);
		try {
			while (!rows.isEmpty()) {
				for (Row row : rows) {
					Ticket ticket = read(row);
					bulk.add(ticket);
					last = ticket.number();
					characters += row.attributes().getOrDefault(BODY, "").length();
				}
				if (characters >= BULK_CHARACTERS) {
					merge(bulk);
					bulk.clear();
					characters = 0;
				}
				rows = this.store.query(TICKET_PARTITION, sortKey(last), PAGE_ROWS);
			}
		}
		finally {
			merge(bulk);
		}
	}

	private void merge(List<Ticket> bulk) {
		if (!bulk.isEmpty()) {
			List<Ticket> learned = bulk.stream().filter((ticket) -> !this.partial.contains(ticket.number())).toList();
			this.partial = this.partial.apply(bulk);
			this.listeners.forEach((listener) -> listener.accept(learned));
		}
	}

	private static String sortKey(long number) {
		return "%019d".formatted(number);
	}

	private Ticket read(Row row) {
		return this.codec.read(row.attributes().getOrDefault(BODY, ""));
	}

}
