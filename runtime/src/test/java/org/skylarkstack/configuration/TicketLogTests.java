package org.skylarkstack.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards the recording, validation and reading of tickets.
 */
class TicketLogTests {

	private final TicketReader reader = new TicketReader();

	private final FakeTableStore store = new FakeTableStore();

	private final ConfigurationHolder configuration = new ConfigurationHolder();

	private final TicketLog log = new TicketLog(this.store, this.configuration);

	private Ticket submit(Ticket ticket) {
		return this.log.submit(this.reader.read(ticket));
	}

	private RouterException refused(Ticket ticket) {
		return Exceptions.assertThrows(RouterException.class, () -> submit(ticket));
	}

	/**
	 * Guards against a conflict error that does not name the author of the recorded
	 * ticket or the next number.
	 */
	@Test
	void conflictNamesTheRecordedAuthor() {
		submit(Tickets.ticket(1, "ann", Tickets.team("a")));
		RouterException taken = refused(Tickets.ticket(1, "bob", Tickets.team("b")));
		assertThat(taken.type()).isEqualTo(ErrorType.TICKET_CONFLICT);
		assertThat(taken).hasMessageThat().contains("number 1 was taken by ann");
		RouterException ahead = refused(Tickets.ticket(5, "bob", Tickets.team("b")));
		assertThat(ahead).hasMessageThat().contains("the next number is 2; ticket 1 was recorded by ann");
	}

	/**
	 * Guards against a resubmitted ticket that is applied a second time or gets a
	 * different result.
	 */
	@Test
	void resubmissionGivesTheSameAnswer() {
		Ticket first = Tickets.ticket(1, "ann", Tickets.team("a"));
		Ticket recorded = submit(first);
		submit(Tickets.ticket(2, "ann", new Team("a", 2, 2, 2, null)));
		assertThat(submit(first)).isEqualTo(recorded);
		assertThat(this.configuration.current().team("a").orElseThrow().tokensPerSecond()).isEqualTo(2);
	}

	/**
	 * Guards against names that are one on a wire, in a row or in a report, although they
	 * differ in the ticket.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "a\n", "a ", " a", "a\t", "\u017d", "a\u0000", "", "a/b" })
	void identifiersThatCannotBeCarriedAreRefused(String id) {
		RouterException refusal = refused(Tickets.ticket(1, "ann", Tickets.team(id)));
		assertThat(refusal.type()).isEqualTo(ErrorType.TICKET_INVALID);
		assertThat(refusal).hasMessageThat().contains("/changes/0/key/id");
	}

	/** Guards against names of models and data centres that are one in a report. */
	@ParameterizedTest
	@ValueSource(strings = { "a\n", "a\r", "a\ud800", "a\u0085", "" })
	void namesThatCannotBeCarriedAreRefused(String model) {
		RouterException refusal = refused(Tickets.ticket(1, "ann", Tickets.engine("e", model)));
		assertThat(refusal.type()).isEqualTo(ErrorType.TICKET_INVALID);
		assertThat(refusal).hasMessageThat().contains("/changes/0/object/model");
		assertThat(submit(Tickets.ticket(1, "ann", Tickets.engine("e", "m \u017d"))).number()).isEqualTo(1);
	}

	/** Guards against a content hash that depends on the iteration order of a set. */
	@Test
	void methodsOfRoutesAreSorted() {
		Route route = new Route("r", "/x", Set.of("PUT", "GET", "POST", "DELETE"), "s", false, false);
		assertThat(route.methods()).containsExactly("DELETE", "GET", "POST", "PUT").inOrder();
	}

	/**
	 * Guards against a timed-out write that is applied late and overwrites the ticket
	 * recorded meanwhile, and against reporting such a write as not run while it may
	 * still be applied.
	 */
	@Test
	void lateWriteIsNeverReportedAsNotRun() {
		submit(Tickets.ticket(1, "ann", Tickets.team("a")));
		this.store.delayWrites(3);
		RouterException unknown = refused(Tickets.ticket(2, "ann", Tickets.team("late")));
		assertThat(unknown.type()).isEqualTo(ErrorType.TICKET_UNKNOWN);
		submit(Tickets.ticket(2, "bob", Tickets.team("b")));
		this.store.applyDelayedWrites();
		assertThat(this.log.find(2).orElseThrow().author()).isEqualTo("bob");
		assertThat(refused(Tickets.ticket(2, "ann", Tickets.team("late")))).hasMessageThat().contains("taken by bob");
	}

	/**
	 * Guards against a timed-out write that is reported as unknown although the store
	 * responds again.
	 */
	@Test
	void timedOutWriteIsResolvedByRetrying() {
		this.store.delayWrites(1);
		Ticket ticket = Tickets.ticket(1, "ann", Tickets.team("a"));
		assertThat(submit(ticket)).isEqualTo(ticket);
		this.store.applyDelayedWrites();
		assertThat(this.log.history(0, 10)).containsExactly(ticket);
	}

	/**
	 * Guards against two tickets recorded under one number by concurrent submissions, and
	 * against conflict errors that name the wrong author.
	 */
	@Test
	void concurrentSubmissionsRecordOneTicketPerNumber() throws Exception {
		int operators = 8;
		int numbers = 10;
		ExecutorService threads = Executors.newFixedThreadPool(operators);
		try {
			for (int number = 1; number <= numbers; number++) {
				race(threads, operators, number);
			}
		}
		finally {
			threads.shutdownNow();
		}
		assertThat(this.log.history(0, 100)).hasSize(numbers);
	}

	private void race(ExecutorService threads, int operators, int number) throws Exception {
		AtomicInteger wins = new AtomicInteger();
		List<String> losses = java.util.Collections.synchronizedList(new ArrayList<>());
		List<Future<?>> running = new ArrayList<>();
		for (int operator = 0; operator < operators; operator++) {
			String author = "operator-" + operator;
			// Each operator submits to a different daemon; the daemons share only the
			// store.
			TicketLog daemon = new TicketLog(this.store, new ConfigurationHolder());
			running.add(threads.submit(() -> {
				try {
					daemon.submit(this.reader.read(Tickets.ticket(number, author, Tickets.team(author))));
					wins.incrementAndGet();
				}
				catch (RouterException ex) {
					losses.add(String.valueOf(ex.getMessage()));
				}
			}));
		}
		for (Future<?> future : running) {
			future.get();
		}
		String winner = this.log.find(number).orElseThrow().author();
		assertThat(wins.get()).isEqualTo(1);
		assertThat(losses).hasSize(operators - 1);
		losses.forEach((loss) -> assertThat(loss).contains("number %d was taken by %s".formatted(number, winner)));
	}

	/**
	 * Guards against a store outage that is reported as an unknown effect although
	 * nothing was written.
	 */
	@Test
	void outageIsRefusedAsStoreUnavailable() {
		this.store.failAfter(0);
		assertThat(refused(Tickets.ticket(1, "ann", Tickets.team("a"))).type()).isEqualTo(ErrorType.STORE_UNAVAILABLE);
		// Reading the log succeeds, and the write fails without having an effect.
		this.store.failAfter(1);
		assertThat(refused(Tickets.ticket(1, "ann", Tickets.team("a"))).type()).isEqualTo(ErrorType.STORE_UNAVAILABLE);
	}

	/**
	 * Guards against a daemon that serves with part of the tickets, in which withdrawn
	 * keys still work, after the store failed during its start; and against reading the
	 * log from the beginning again.
	 */
	@Test
	void partialReadIsNotPublished() {
		int teams = 2_500;
		for (int number = 1; number <= teams; number++) {
			this.store
				.write(List.of(org.skylarkstack.store.RowWrite.put(
						new org.skylarkstack.store.Row("ticket", "%019d".formatted(number),
								java.util.Map.of("body",
										new TicketCodec()
											.write(Tickets.ticket(number, "ann", Tickets.team("t" + number))))),
						null)));
		}
		this.store.failAfter(2);
		Exceptions.assertThrows(org.skylarkstack.store.StoreException.class, this.log::catchUp);
		assertThat(this.configuration.current().appliedNumber()).isEqualTo(0);
		// The first 2,000 tickets are retained, so two calls suffice: one for the
		// remaining page and one that finds the end of the log.
		this.store.failAfter(2);
		assertThat(this.log.catchUp()).isEqualTo(teams);
		assertThat(this.configuration.current().team("t2500")).isPresent();
	}

	/** Guards against a validation error that omits some of the problems of a ticket. */
	@Test
	void everyReasonIsListed() {
		submit(Tickets.ticket(1, "ann", Tickets.team("a"), Tickets.key("k1", "a"), new BackendService("s", List.of()),
				new Route("r", "/x", Set.of("GET"), "s", false, false)));
		String json = """
				{"number": 2, "author": "bob", "changes": [
				 {"key": {"kind": "TEAM", "id": "a"}, "object": null},
				 {"key": {"kind": "SERVICE", "id": "s"}, "object": null},
				 {"key": {"kind": "TEAM", "id": "none"}, "object": null},
				 {"key": {"kind": "KEY", "id": "k2"},
				  "object": {"kind": "KEY", "id": "k2", "keyHash": "%s", "teamId": "missing"}},
				 {"key": {"kind": "KEY", "id": "k3"},
				  "object": {"kind": "KEY", "id": "k3", "keyHash": "plain-key", "teamId": "b b"}},
				 {"key": {"kind": "TEAM", "id": "c"},
				  "object": {"kind": "TEAM", "id": "d", "tokensPerSecond": 1, "burstTokens": 1, "weight": 1}},
				 {"key": {"kind": "TEAM", "id": "e"},
				  "object": {"kind": "TEAM", "id": "e", "tokensPerSecond": 0, "burstTokens": -1, "weight": 0}},
				 {"key": {"kind": "KEY", "id": "k4"},
				  "object": {"kind": "KEY", "id": "k4", "keyHash": "%s", "teamId": "e"}},
				 {"key": {"kind": "ROUTE", "id": "r2"}, "object": {"kind": "ROUTE", "id": "r2", "pathPrefix": "/x",
				  "methods": ["GET"], "serviceId": "missing"}},
				 {"key": {"kind": "ENGINE", "id": "e1"}, "object": {"kind": "ENGINE", "id": "e1", "url": "ftp://h",
				  "dataCentre": "d", "model": "m", "role": "BOTH", "decodeSlots": 1, "memoryPieces": 1,
				  "prefillTokensPerSecond": 1}},
				 {"key": {"kind": "SERVICE", "id": "s2"}, "object": {"kind": "SERVICE", "id": "s2", "servers": [
				  {"url": "http://h:1", "dataCentre": "d"}, {"url": "http://h:1", "dataCentre": "d"}]}},
				 {"key": {"kind": "TEAM", "id": "none"}, "object": null}
				]}""".formatted(Tickets.key("k1", "a").keyHash(), "0".repeat(64));
		RouterException failure = Exceptions.assertThrows(RouterException.class,
				() -> this.log.submit(this.reader.read(json.getBytes(java.nio.charset.StandardCharsets.UTF_8))));
		assertThat(failure.type()).isEqualTo(ErrorType.TICKET_INVALID);
		String reasons = String.valueOf(failure.getMessage());
		for (String reason : List.of("key k1 names team a, which the ticket deletes",
				"route r names service s, which the ticket deletes", "team none does not exist and cannot be deleted",
				"key k2 names team missing, which does not exist", "key k1 and key k2 have the same key hash",
				"/changes/4/object/keyHash", "/changes/4/object/teamId", "/changes/5",
				"/changes/6/object/tokensPerSecond", "/changes/6/object/burstTokens", "/changes/6/object/weight",
				"route r2 names service missing, which does not exist", "route r and route r2 both match GET /x",
				"engine e1 has URL ftp://h", "key k3 names team b b, which does not exist",
				"service s2 names http://h:1 twice", "team none is changed twice")) {
			assertThat(reasons).contains(reason);
		}
		// Team e exists, although its definition is invalid. A plain key sent instead of
		// its hash is not included in the message.
		assertThat(reasons).doesNotContain("names team e,");
		assertThat(reasons).doesNotContain("plain-key");
		assertThat(reasons).doesNotContain(Tickets.key("k1", "a").keyHash());
		assertThat(this.configuration.current().appliedNumber()).isEqualTo(1);
	}

	/** Guards against a ticket that exceeds the item size of the table service. */
	@Test
	void oversizedTicketIsRefused() {
		ConfigurationObject[] teams = new ConfigurationObject[4_000];
		for (int index = 0; index < teams.length; index++) {
			teams[index] = Tickets.team("team-" + index);
		}
		assertThat(refused(Tickets.ticket(1, "ann", teams))).hasMessageThat().contains("at most 358400 are allowed");
	}

}
