package org.skylarkstack.configuration;

import java.util.Map;
import java.util.Optional;

import org.skylarkstack.store.Row;
import org.skylarkstack.store.RowCondition;
import org.skylarkstack.store.RowWrite;
import org.skylarkstack.store.TableStore;

/**
 * Rows of the ticket log in the platform's table.
 */
final class TicketRows {

	/** Partition of the tickets, in the order of their numbers. */
	static final String TICKET_PARTITION = "ticket";

	private static final String HEAD_PARTITION = "ticket-head";

	private static final String HEAD_SORT_KEY = "head";

	private static final String NUMBER = "number";

	private static final String BODY = "body";

	private TicketRows() {
	}

	/**
	 * Reads the number of the last recorded ticket.
	 * @param store the platform's table
	 * @return the number, 0 if no ticket is recorded
	 * @throws org.skylarkstack.store.StoreException if the store does not respond
	 */
	static long readHead(TableStore store) {
		return store.get(HEAD_PARTITION, HEAD_SORT_KEY)
			.map((row) -> Long.parseLong(row.attributes().getOrDefault(NUMBER, "0")))
			.orElse(0L);
	}

	static Optional<Row> readTicket(TableStore store, long number) {
		return store.get(TICKET_PARTITION, sortKey(number));
	}

	static RowWrite advanceHead(long from, long to) {
		RowCondition condition = (from == 0) ? RowCondition.ABSENT
				: RowCondition.attributeEquals(NUMBER, Long.toString(from));
		return RowWrite.put(new Row(HEAD_PARTITION, HEAD_SORT_KEY, Map.of(NUMBER, Long.toString(to))), condition);
	}

	static RowWrite insert(long number, String body) {
		return RowWrite.put(new Row(TICKET_PARTITION, sortKey(number), Map.of(BODY, body)), RowCondition.ABSENT);
	}

	static String sortKey(long number) {
		return "%019d".formatted(number);
	}

	static String body(Row row) {
		return row.attributes().getOrDefault(BODY, "");
	}

}
