package org.skylarkstack.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.store.Row;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards confirmed tickets after the table service was restored from an older copy.
 */
class RestoredTicketLogTests {

	private final FakeTableStore store = new FakeTableStore();

	private final List<Daemon> daemons = new ArrayList<>();

	private long now;

	private Daemon start() {
		Daemon daemon = new Daemon();
		this.daemons.add(daemon);
		return daemon;
	}

	/** Lets each daemon poll the store several times, in turn. */
	private void poll() {
		for (int round = 0; round < 3; round++) {
			this.now += TicketLogRecovery.COMPARISON_PERIOD_NANOS;
			this.daemons.forEach(Daemon::poll);
		}
	}

	private void assertAllAgree() {
		Configuration first = this.daemons.get(0).configuration.current();
		for (Daemon daemon : this.daemons) {
			Map<ObjectKey, Object> states = daemon.states();
			assertWithMessage("daemon %s", this.daemons.indexOf(daemon)).that(states)
				.isEqualTo(this.daemons.get(0).states());
			assertThat(daemon.configuration.current().appliedNumber()).isEqualTo(first.appliedNumber());
		}
	}

	private static boolean accepts(Daemon daemon, String key) {
		return daemon.configuration.current().teamOfKey(Tickets.key(key, "a").keyHash()).isPresent();
	}

	/**
	 * Guards against a withdrawn key that daemons started after the restore accept for
	 * ever.
	 */
	@Test
	void lostTicketsAreRecordedAgain() {
		Daemon daemon = start();
		daemon.submit(Tickets.ticket(1, "ann", Tickets.team("a"), Tickets.key("k", "a")));
		Map<String, Row> copy = this.store.copy();
		daemon.submit(Tickets.ticket(2, "ann", Tickets.team("b")));
		daemon.submit(Tickets.deletion(3, ObjectKind.KEY, "k"));
		this.store.restore(copy);
		poll();
		Daemon started = start();
		started.poll();
		assertThat(accepts(daemon, "k")).isFalse();
		assertThat(accepts(started, "k")).isFalse();
		assertThat(daemon.log.history(0, 10).stream().map(Ticket::author)).containsExactly("ann", "ann", "ann");
		assertThat(daemon.log.lostTickets()).isEqualTo(2);
		assertAllAgree();
	}

	/**
	 * Guards against a log that accepts no ticket any more, because its head stays behind
	 * the numbers that daemons have applied.
	 */
	@Test
	void nextTicketIsAcceptedAfterTheRestore() {
		Daemon daemon = start();
		Daemon other = start();
		daemon.submit(Tickets.ticket(1, "ann", Tickets.team("a")));
		Map<String, Row> copy = this.store.copy();
		Ticket lost = Tickets.ticket(2, "ann", Tickets.team("b"));
		daemon.submit(lost);
		poll();
		this.store.restore(copy);
		assertThat(daemon.submit(lost)).isEqualTo(lost);
		Ticket next = Tickets.ticket(3, "bob", Tickets.team("c"));
		assertThat(other.submit(next)).isEqualTo(next);
		poll();
		assertAllAgree();
	}

	/**
	 * Guards against two accepted tickets of one number, of which each daemon has only
	 * the one that it applied first, where the restore is noticed by the head.
	 */
	@Test
	void bothTicketsOfOneNumberComeIntoForceWhereTheHeadIsBehind() {
		Daemon daemon = start();
		daemon.submit(Tickets.ticket(1, "ann", Tickets.team("a"), Tickets.key("k", "a")));
		Map<String, Row> copy = this.store.copy();
		daemon.submit(Tickets.deletion(2, ObjectKind.KEY, "k"));
		daemon.submit(Tickets.ticket(3, "ann", new Team("both", 1, 1, 1, null)));
		this.store.restore(copy);
		Daemon started = start();
		started.submit(Tickets.ticket(2, "bob", Tickets.team("b"), new Team("both", 2, 2, 1, null)));
		poll();
		assertAllAgree();
		this.daemons.forEach((each) -> {
			assertThat(accepts(each, "k")).isFalse();
			assertThat(each.configuration.current().team("b")).isPresent();
		});
	}

	/**
	 * Guards against the same where later tickets have passed the applied number before
	 * the daemon reads the log again.
	 */
	@Test
	void bothTicketsOfOneNumberComeIntoForceWhereTheHeadHasPassed() {
		Daemon frozen = start();
		frozen.submit(Tickets.ticket(1, "ann", Tickets.team("a"), Tickets.key("k", "a")));
		Map<String, Row> copy = this.store.copy();
		frozen.submit(new Ticket(2, "ann",
				List.of(TicketChange.delete(ObjectKind.KEY, "k"), TicketChange.set(new Team("both", 1, 1, 1, null)))));
		this.store.restore(copy);
		Daemon started = start();
		started.submit(Tickets.ticket(2, "bob", Tickets.team("b"), new Team("both", 2, 2, 1, null)));
		started.submit(Tickets.ticket(3, "bob", Tickets.team("c")));
		poll();
		assertAllAgree();
		this.daemons.forEach((each) -> {
			assertThat(accepts(each, "k")).isFalse();
			assertThat(each.configuration.current().team("b")).isPresent();
			assertThat(each.configuration.current().team("both").orElseThrow().tokensPerSecond()).isEqualTo(2);
		});
		long settled = frozen.configuration.current().appliedNumber();
		poll();
		assertWithMessage("tickets without end").that(frozen.configuration.current().appliedNumber())
			.isEqualTo(settled);
	}

	/** Guards against a settling ticket that reverts a change accepted after the two. */
	@Test
	void laterTicketIsNotRevertedBySettling() {
		Daemon frozen = start();
		frozen.submit(Tickets.ticket(1, "ann", Tickets.team("a")));
		Map<String, Row> copy = this.store.copy();
		frozen.submit(Tickets.ticket(2, "ann", new Team("x", 1, 1, 1, null)));
		this.store.restore(copy);
		Daemon started = start();
		started.submit(Tickets.ticket(2, "bob", new Team("x", 2, 2, 1, null)));
		started.submit(Tickets.ticket(3, "bob", new Team("x", 3, 3, 1, null)));
		poll();
		assertAllAgree();
		assertThat(frozen.configuration.current().team("x").orElseThrow().tokensPerSecond()).isEqualTo(3);
		assertThat(frozen.configuration.current().appliedNumber()).isEqualTo(3);
	}

	/**
	 * Guards against a log that accepts no ticket any more after the whole fleet started
	 * from a snapshot that is newer than the restored log.
	 */
	@Test
	void snapshotNewerThanTheLogIsRecorded() {
		Daemon daemon = start();
		daemon.submit(Tickets.ticket(1, "ann", Tickets.team("a"), Tickets.key("k", "a")));
		Map<String, Row> copy = this.store.copy();
		daemon.submit(Tickets.deletion(2, ObjectKind.KEY, "k"));
		daemon.submit(Tickets.ticket(3, "ann", Tickets.team("b")));
		this.store.restore(copy);
		this.daemons.clear();
		Daemon started = start();
		started.log.startFromSnapshot(daemon.configuration.current());
		started.submit(Tickets.ticket(4, "ann", Tickets.team("c")));
		Daemon second = start();
		poll();
		assertThat(accepts(second, "k")).isFalse();
		assertAllAgree();
	}

	/** Guards against recording a whole log in a table that is not an older copy. */
	@Test
	void emptyTableIsNotFilled() {
		Daemon daemon = start();
		for (int number = 1; number <= TicketLogRecovery.MAX_MISSING_TICKETS + 1; number++) {
			daemon.submit(Tickets.ticket(number, "ann", Tickets.team("t" + number)));
		}
		this.store.restore(Map.of());
		poll();
		assertThat(daemon.log.history(0, 10)).isEmpty();
		RouterException refused = Exceptions.assertThrows(RouterException.class, () -> daemon
			.submit(Tickets.ticket(TicketLogRecovery.MAX_MISSING_TICKETS + 2, "ann", Tickets.team("next"))));
		assertThat(refused.type()).isEqualTo(ErrorType.STORE_UNAVAILABLE);
	}

	/**
	 * Guards against more tickets than one transaction holds that are recorded in part.
	 */
	@Test
	void manyLostTicketsAreRecordedInSeveralTransactions() {
		Daemon daemon = start();
		daemon.submit(Tickets.ticket(1, "ann", Tickets.team("a")));
		Map<String, Row> copy = this.store.copy();
		for (int number = 2; number <= 131; number++) {
			daemon.submit(Tickets.ticket(number, "ann", Tickets.team("t" + number)));
		}
		this.store.restore(copy);
		daemon.poll();
		Daemon started = start();
		started.poll();
		assertThat(started.configuration.current().appliedNumber()).isEqualTo(131);
	}

	/**
	 * Guards against daemons that differ, or a confirmed change that is lost, after any
	 * sequence of tickets, polls, restores and daemons that do not poll for some time.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20 })
	void daemonsAgreeAfterRandomRestores(long seed) {
		Random random = new Random(seed);
		for (int index = 0; index < 4; index++) {
			start();
		}
		Map<String, Row> copy = this.store.copy();
		List<String> confirmed = new ArrayList<>();
		for (int action = 0; action < 200; action++) {
			Daemon daemon = this.daemons.get(random.nextInt(this.daemons.size()));
			this.now += random.nextLong(TicketLogRecovery.COMPARISON_PERIOD_NANOS);
			int kind = random.nextInt(10);
			if (kind == 0) {
				copy = this.store.copy();
				continue;
			}
			switch (kind) {
				case 1 -> this.store.restore(copy);
				case 2, 3, 4 -> submitNext(daemon, "team-" + action, random.nextInt(3), confirmed);
				default -> daemon.poll();
			}
		}
		poll();
		poll();
		assertAllAgree();
		Configuration last = this.daemons.get(0).configuration.current();
		confirmed.forEach((team) -> assertWithMessage("seed %s: %s", seed, team).that(last.team(team)).isPresent());
	}

	/**
	 * Submits a ticket that adds one team and changes a team that other tickets change.
	 */
	private void submitNext(Daemon daemon, String team, int shared, List<String> confirmed) {
		daemon.poll();
		long next = daemon.configuration.current().appliedNumber() + 1;
		daemon.submit(Tickets.ticket(next, "ann", Tickets.team(team),
				new Team("shared-" + shared, next, next + team.length(), 1, null)));
		confirmed.add(team);
	}

	/**
	 * Daemon without peers.
	 */
	private final class Daemon {

		private final ConfigurationHolder configuration = new ConfigurationHolder();

		private final TicketLog log = new TicketLog(RestoredTicketLogTests.this.store, this.configuration);

		Ticket submit(Ticket ticket) {
			return this.log.submit(new TicketReader().read(ticket));
		}

		void poll() {
			this.log.catchUp();
			this.log.recover(RestoredTicketLogTests.this.now);
		}

		/** Returns the states of all objects without the numbers of their tickets. */
		Map<ObjectKey, Object> states() {
			Map<ObjectKey, Object> states = new java.util.HashMap<>();
			this.configuration.current()
				.objects()
				.forEach((key, state) -> states.put(key, String.valueOf(state.object())));
			return states;
		}

	}

}
