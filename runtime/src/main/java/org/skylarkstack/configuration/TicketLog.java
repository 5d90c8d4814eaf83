package org.skylarkstack.configuration;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.store.Row;
import org.skylarkstack.store.RowCondition;
import org.skylarkstack.store.RowWrite;
import org.skylarkstack.store.StoreException;
import org.skylarkstack.store.TableStore;
import org.skylarkstack.store.WriteEffect;

/**
 * Log of tickets in the platform's table. One transaction advances the head and inserts
 * the ticket, so two tickets never get the same number.
 */
public final class TicketLog implements TicketService {

	private static final String HEAD_PARTITION = "ticket-head";

	private static final String HEAD_SORT = "head";

	private static final String TICKET_PARTITION = "ticket";

	private static final String NUMBER = "number";

	private static final String BODY = "body";

	private static final int PAGE_ROWS = 100;

	private final ObjectMapper mapper = new ObjectMapper();

	private final TableStore store;

	private final ConfigurationHolder configuration;

	/**
	 * Creates a log.
	 * @param store the platform's table
	 * @param configuration receives accepted tickets
	 */
	public TicketLog(TableStore store, ConfigurationHolder configuration) {
		this.store = store;
		this.configuration = configuration;
	}

	@Override
	public void submit(Ticket ticket) {
		String body = serialize(ticket);
		try {
			if (!record(ticket, body)) {
				checkRecorded(ticket, body);
			}
		}
		catch (StoreException ex) {
			if (ex.effect() == WriteEffect.NOT_APPLIED) {
				throw new RouterException(ErrorType.STORE_UNAVAILABLE);
			}
			readBack(ticket, body);
		}
		catchUp();
	}

	private boolean record(Ticket ticket, String body) {
		Row head = new Row(HEAD_PARTITION, HEAD_SORT, Map.of(NUMBER, Long.toString(ticket.number())));
		RowCondition advance = (ticket.number() == 1) ? RowCondition.ABSENT
				: RowCondition.attributeEquals(NUMBER, Long.toString(ticket.number() - 1));
		Row row = new Row(TICKET_PARTITION, sortKey(ticket.number()), Map.of(BODY, body));
		return this.store.write(List.of(RowWrite.put(head, advance), RowWrite.put(row, RowCondition.ABSENT)));
	}

	private void readBack(Ticket ticket, String body) {
		try {
			checkRecorded(ticket, body);
		}
		catch (StoreException ex) {
			throw new RouterException(ErrorType.TICKET_UNKNOWN, ticket.number());
		}
	}

	private void checkRecorded(Ticket ticket, String body) {
		Optional<Row> recorded = this.store.get(TICKET_PARTITION, sortKey(ticket.number()));
		if (recorded.isEmpty()) {
			throw new RouterException(ErrorType.TICKET_CONFLICT, ticket.number(), "the next number is " + (head() + 1));
		}
		if (!body.equals(recorded.get().attributes().get(BODY))) {
			throw new RouterException(ErrorType.TICKET_CONFLICT, ticket.number(),
					"the number was taken by " + deserialize(recorded.get()).author());
		}
	}

	/**
	 * Returns the highest recorded number.
	 * @return the number, 0 before the first ticket
	 */
	public long head() {
		return this.store.get(HEAD_PARTITION, HEAD_SORT)
			.map((row) -> Long.parseLong(row.attributes().getOrDefault(NUMBER, "0")))
			.orElse(0L);
	}

	/** Applies all recorded tickets that are not in force here yet. */
	public void catchUp() {
		List<Row> rows;
		do {
			long applied = this.configuration.current().appliedNumber();
			rows = this.store.query(TICKET_PARTITION, sortKey(applied), PAGE_ROWS);
			for (Row row : rows) {
				Ticket ticket = deserialize(row);
				this.configuration.update((current) -> current.apply(ticket));
			}
		}
		while (rows.size() == PAGE_ROWS);
	}

	private static String sortKey(long number) {
		return "%019d".formatted(number);
	}

	private String serialize(Ticket ticket) {
		try {
			return this.mapper.writeValueAsString(ticket);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("ticket %d cannot be serialized".formatted(ticket.number()), ex);
		}
	}

	private Ticket deserialize(Row row) {
		try {
			return this.mapper.readValue(row.attributes().getOrDefault(BODY, ""), Ticket.class);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("ticket row %s cannot be read".formatted(row.sort()), ex);
		}
	}

}
