package org.skylarkstack.standin;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.skylarkstack.configuration.ConfigurationHolder;
import org.skylarkstack.configuration.SnapshotKeeper;
import org.skylarkstack.configuration.Team;
import org.skylarkstack.configuration.Ticket;
import org.skylarkstack.configuration.TicketChange;
import org.skylarkstack.configuration.TicketLog;
import org.skylarkstack.configuration.TicketReader;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.membership.Member;
import org.skylarkstack.membership.Membership;
import org.skylarkstack.membership.MembershipView;
import org.skylarkstack.settings.PlatformSettings;
import org.skylarkstack.store.DynamoTableStore;
import org.skylarkstack.store.Row;
import org.skylarkstack.store.RowCondition;
import org.skylarkstack.store.RowWrite;
import org.skylarkstack.store.S3ObjectStore;
import org.skylarkstack.store.StoreException;
import org.skylarkstack.store.WriteEffect;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of the store adapters and of the ticket log against the platform's API.
 */
class PlatformStoreTests {

	private static final int TIMEOUT_MILLIS = 5_000;

	private final PlatformStandIn platform = new PlatformStandIn(0);

	private final PlatformSettings settings = settings(this.platform.url("dc-a"));

	private final DynamoTableStore table = new DynamoTableStore(this.settings);

	private final S3ObjectStore objects = new S3ObjectStore(this.settings);

	private final ConfigurationHolder configuration = new ConfigurationHolder();

	private final TicketLog log = new TicketLog(this.table, this.configuration);

	private static PlatformSettings settings(String url) {
		return new PlatformSettings(url + "/table", url + "/objects", url + "/vms", "local", "id", "secret", "table",
				"bucket", TIMEOUT_MILLIS);
	}

	@AfterEach
	void stop() {
		this.platform.close();
	}

	private Ticket submit(long number, String author) {
		return this.log.submit(new TicketReader()
			.read(new Ticket(number, author, List.of(TicketChange.set(new Team(author, 1, 1, 1, null))))));
	}

	/**
	 * Guards against a ticket that took effect but is reported as rejected or unknown,
	 * because the response to its write was lost.
	 */
	@Test
	void ticketWithLostReplyIsConfirmedByReadingBack() {
		this.platform.faults().loseReplies(1);
		assertThat(submit(1, "ann").author()).isEqualTo("ann");
		assertThat(this.platform.faults().count("TransactWriteItems")).isEqualTo(1);
		assertThat(submit(1, "ann").author()).isEqualTo("ann");
		assertThat(this.log.history(0, 10)).hasSize(1);
	}

	/**
	 * Guards against a delayed write that replaces another ticket with the same number.
	 */
	@Test
	void lateWriteDoesNotReplaceTheWinner() {
		this.platform.faults().holdWrites(3);
		RouterException unknown = Exceptions.assertThrows(RouterException.class, () -> submit(1, "ann"));
		assertThat(unknown.type()).isEqualTo(ErrorType.TICKET_UNKNOWN);
		submit(1, "bob");
		assertThat(this.platform.applyHeldWrites()).isEqualTo(0);
		assertThat(this.log.find(1).orElseThrow().author()).isEqualTo("bob");
	}

	/**
	 * Guards against a delayed write that takes effect unnoticed; only one of the three
	 * attempts may take effect.
	 */
	@Test
	void lateWriteThatTakesEffectIsTheRecordedTicket() {
		this.platform.faults().holdWrites(3);
		Exceptions.assertThrows(RouterException.class, () -> submit(1, "ann"));
		assertThat(this.platform.applyHeldWrites()).isEqualTo(1);
		RouterException lost = Exceptions.assertThrows(RouterException.class, () -> submit(1, "bob"));
		assertThat(lost).hasMessageThat().contains("taken by ann");
		assertThat(submit(1, "ann").author()).isEqualTo("ann");
	}

	/** Guards against a rejected write that is reported with an unknown effect. */
	@Test
	void failedWritesReportTheirEffect() {
		Row large = new Row("p", "s", Map.of("body", "x".repeat(401 * 1024)));
		assertThat(effect(large)).isEqualTo(WriteEffect.NOT_APPLIED);
		Row small = new Row("p", "s", Map.of("body", "x"));
		this.platform.faults().down(true);
		assertThat(effect(small)).isEqualTo(WriteEffect.UNKNOWN);
		this.platform.faults().down(false);
		assertThat(this.table.write(List.of(RowWrite.put(small, RowCondition.ABSENT)))).isTrue();
		assertThat(this.table.write(List.of(RowWrite.put(small, RowCondition.ABSENT)))).isFalse();
		this.platform.close();
		assertThat(effect(small)).isEqualTo(WriteEffect.NOT_APPLIED);
	}

	private WriteEffect effect(Row row) {
		return Exceptions.assertThrows(StoreException.class, () -> this.table.write(List.of(RowWrite.put(row, null))))
			.effect();
	}

	/** Guards against a log that is read only up to the first page limit of 1 MB. */
	@Test
	void pagesOfLargeTicketsAreReadToTheEnd() {
		int tickets = 8;
		String padding = "x".repeat(300 * 1024);
		for (int number = 1; number <= tickets; number++) {
			String body = "{\"number\":%d,\"author\":\"ann\",\"changes\":[],\"padding\":\"%s\"}".formatted(number,
					padding);
			this.table
				.write(List.of(RowWrite.put(new Row("ticket", "%019d".formatted(number), Map.of("body", body)), null)));
		}
		assertThat(this.log.catchUp()).isEqualTo(tickets);
	}

	/** Guards against faults of one data centre that affect another one. */
	@Test
	void cutOffAffectsOnlyOneDataCentre() {
		this.platform.faults().cutOff("dc-b", true);
		assertThat(this.table.get("p", "s")).isEmpty();
		DynamoTableStore other = new DynamoTableStore(settings(this.platform.url("dc-b")));
		Exceptions.assertThrows(StoreException.class, () -> other.get("p", "s"));
	}

	/**
	 * Guards against objects that are corrupted, truncated or, while the platform is
	 * down, reported as absent.
	 */
	@Test
	void objectsAreReadBack() {
		byte[] bytes = new byte[3 * 1024 * 1024];
		new Random(1).nextBytes(bytes);
		assertThat(this.objects.get("a/b")).isEmpty();
		this.objects.put("a/b", bytes);
		assertThat(this.objects.get("a/b").orElseThrow()).isEqualTo(bytes);
		this.platform.faults().down(true);
		Exceptions.assertThrows(StoreException.class, () -> this.objects.get("a/b"));
		Exceptions.assertThrows(StoreException.class, () -> this.objects.put("a/b", bytes));
	}

	/**
	 * Guards against a start that treats a snapshot as the current state without reading
	 * the later tickets, and against one that fails because the snapshot is corrupted.
	 */
	@Test
	void startLoadsTheSnapshotAndLaterTickets() {
		for (int number = 1; number <= 5; number++) {
			submit(number, "ann-" + number);
		}
		SnapshotKeeper writer = new SnapshotKeeper(this.objects, this.configuration, singleMember());
		assertThat(writer.step(0)).isFalse();
		assertThat(writer.step(java.time.Duration.ofHours(2).toNanos())).isTrue();
		submit(6, "ann-6");
		ConfigurationHolder started = new ConfigurationHolder();
		TicketLog startedLog = new TicketLog(this.table, started);
		SnapshotKeeper reader = new SnapshotKeeper(this.objects, started, singleMember());
		startedLog.startFromSnapshot(reader.read().orElseThrow());
		this.platform.faults().down(true);
		Exceptions.assertThrows(StoreException.class, startedLog::catchUp);
		assertThat(started.current().appliedNumber()).isEqualTo(0);
		this.platform.faults().down(false);
		assertThat(startedLog.catchUp()).isEqualTo(6);
		assertThat(started.current().objects()).isEqualTo(this.configuration.current().objects());
		this.objects.put("configuration/snapshot.json.gz", new byte[] { 31, -117, 8, 0 });
		assertThat(reader.read()).isEmpty();
	}

	private static Membership singleMember() {
		TreeMap<String, Member> members = new TreeMap<>(Map.of("vm-a", new Member("vm-a", 1, "dc-a", false)));
		MembershipView view = new MembershipView("vm-a", members);
		return new Membership() {
			@Override
			public MembershipView view() {
				return view;
			}

			@Override
			public long incarnation() {
				return 1;
			}

			@Override
			public boolean isDead(String vmId, long incarnation) {
				return false;
			}
		};
	}

}
