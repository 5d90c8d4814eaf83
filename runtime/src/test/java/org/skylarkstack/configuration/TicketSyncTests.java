package org.skylarkstack.configuration;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;
import org.msgpack.jackson.dataformat.MessagePackFactory;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.PluginRegistry;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.membership.Member;
import org.skylarkstack.membership.Membership;
import org.skylarkstack.membership.MembershipView;
import org.skylarkstack.peer.FakePeerNetwork;
import org.skylarkstack.peer.PeerMessageType;
import org.skylarkstack.peer.PeerTransport;
import org.skylarkstack.store.Row;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards the exchange of tickets between daemons, in simulated time.
 */
class TicketSyncTests {

	private static final long SEED = 20_260_101;

	private static final long STEP_NANOS = Duration.ofMillis(50).toNanos();

	private static final long MAX_DELAY_NANOS = Duration.ofMillis(30).toNanos();

	private final FakePeerNetwork network = new FakePeerNetwork(new Random(SEED), MAX_DELAY_NANOS);

	private final FakeTableStore store = new FakeTableStore();

	private final Map<String, Node> nodes = new HashMap<>();

	private final List<String> vmIds = new ArrayList<>();

	private long now;

	private void start(int count) {
		System.out.println("seed " + SEED);
		for (int index = 0; index < count; index++) {
			this.vmIds.add("vm-" + index);
		}
		this.vmIds.forEach((vmId) -> this.nodes.put(vmId, new Node(vmId)));
	}

	private Node node(int index) {
		return Objects.requireNonNull(this.nodes.get(this.vmIds.get(index)));
	}

	private void run(Duration time) {
		for (long end = this.now + time.toNanos(); this.now < end;) {
			this.now += STEP_NANOS;
			this.network.advance(this.now);
			this.nodes.values().forEach((node) -> node.sync.tick(this.now));
		}
	}

	private void submit(int index, Ticket ticket) {
		node(index).log.submit(new TicketReader().read(ticket));
	}

	/** Records a first ticket that all nodes read from the store, as in a new fleet. */
	private void setUp(ConfigurationObject... objects) {
		submit(0, Tickets.ticket(1, "ann", objects));
		this.nodes.values().forEach(Node::poll);
	}

	/** Guards against tickets that reach other daemons only through the store. */
	@Test
	void ticketSpreadsToAllPeersWithoutTheStore() {
		start(20);
		setUp(Tickets.team("a"));
		submit(3, Tickets.ticket(2, "ann", Tickets.team("b")));
		this.store.failAfter(0);
		// No pull is due yet, so these nodes received the ticket by pushes alone.
		run(Duration.ofSeconds(2));
		assertThat(this.nodes.values().stream().filter((node) -> node.applied() == 2).count()).isAtLeast(10);
		run(Duration.ofSeconds(8));
		this.nodes.values().forEach((node) -> assertThat(node.applied()).isEqualTo(2));
	}

	/**
	 * Guards against a starting daemon that applies a pushed ticket without the earlier
	 * ones.
	 */
	@Test
	void ticketsAloneAreNotAppliedWhileEmpty() {
		start(1);
		String body = new TicketCodec().write(Tickets.ticket(1, "ann", Tickets.team("a"), Tickets.key("k", "a")));
		node(0).sync.onPush("vm-9", new TicketPush(0, List.of(body), 2, new HeadEvidence(2, 0)), this.now);
		assertThat(node(0).configuration.current()).isSameInstanceAs(Configuration.EMPTY);
	}

	/**
	 * Guards against a daemon that stays without a configuration when it restarts during
	 * a store outage.
	 */
	@Test
	void restartWhileTheStoreIsDownTakesTheStateFromAPeer() {
		start(3);
		setUp(Tickets.team("a"));
		submit(0, Tickets.ticket(2, "ann", Tickets.team("b")));
		run(Duration.ofSeconds(10));
		this.store.failAfter(0);
		Node restarted = new Node("vm-1");
		this.nodes.put("vm-1", restarted);
		assertThat(restarted.applied()).isEqualTo(0);
		run(Duration.ofSeconds(2));
		assertThat(restarted.applied()).isEqualTo(2);
		assertThat(restarted.configuration.current().objects()).isEqualTo(node(0).configuration.current().objects());
		assertThat(restarted.freshness.evidence(this.now)).isPresent();
	}

	/**
	 * Guards against a daemon that accepts withdrawn keys because it starts after the
	 * store was restored, before its peers have recorded the lost tickets again.
	 */
	@Test
	void startAfterARestoreWaitsForThePeers() {
		start(2);
		setUp(Tickets.team("a"), Tickets.key("k", "a"));
		Map<String, Row> copy = this.store.copy();
		submit(0, Tickets.deletion(2, ObjectKind.KEY, "k"));
		this.store.restore(copy);
		Node restarted = new Node("vm-1");
		this.nodes.put("vm-1", restarted);
		StartBarrier barrier = new StartBarrier(1, Duration.ofSeconds(1).toNanos(), this.now);
		restarted.log.publishFirstWhen((number) -> barrier.permits(number, this.now));
		restarted.poll();
		assertThat(restarted.applied()).isEqualTo(0);
		barrier.report("vm-0", node(0).applied());
		restarted.poll();
		assertThat(restarted.applied()).isEqualTo(0);
		run(Duration.ofSeconds(2));
		restarted.poll();
		assertThat(restarted.applied()).isEqualTo(2);
		assertThat(restarted.configuration.current().teamOfKey(Tickets.key("k", "a").keyHash())).isEmpty();
	}

	/**
	 * Guards against a daemon that becomes ready without a configuration because neither
	 * the store nor a peer responds.
	 */
	@Test
	void restartWithoutStoreAndPeersStaysEmpty() {
		start(2);
		setUp(Tickets.team("a"));
		this.store.failAfter(0);
		this.network.cut("vm-0", "vm-1", true);
		Node restarted = new Node("vm-1");
		this.nodes.put("vm-1", restarted);
		run(Duration.ofSeconds(30));
		assertThat(restarted.applied()).isEqualTo(0);
		this.network.cut("vm-0", "vm-1", false);
		run(Duration.ofSeconds(3));
		assertThat(restarted.applied()).isEqualTo(1);
	}

	/**
	 * Guards against a snapshot that exceeds the frame size or is reassembled
	 * incorrectly.
	 */
	@Test
	void largeStateMovesInParts() {
		start(2);
		int teams = 20_000;
		int perTicket = 500;
		for (int number = 1; number <= teams / perTicket; number++) {
			ConfigurationObject[] objects = new ConfigurationObject[perTicket];
			for (int index = 0; index < perTicket; index++) {
				objects[index] = Tickets.key("key-%d-%d".formatted(number, index), "a");
			}
			Ticket ticket = Tickets.ticket(number, "ann", objects);
			node(0).configuration.update((current) -> current.apply(ticket));
		}
		node(0).freshness.observe(node(0).applied(), this.now);
		byte[] whole = new SnapshotCodec().write(node(0).configuration.current());
		assertThat(whole.length).isGreaterThan(TicketSync.PART_BYTES);
		run(Duration.ofSeconds(3));
		assertThat(node(1).configuration.current().objects()).isEqualTo(node(0).configuration.current().objects());
		assertThat(node(1).applied()).isEqualTo(node(0).applied());
	}

	/**
	 * Guards against VMs that keep an old configuration after a network partition has
	 * healed.
	 */
	@Test
	void partitionHeals() {
		start(6);
		setUp(Tickets.team("a"), Tickets.key("k", "a"));
		cutOff(true);
		this.store.failAfter(0);
		Ticket withdrawal = Tickets.deletion(2, ObjectKind.KEY, "k");
		node(0).configuration.update((current) -> current.apply(withdrawal));
		node(0).sync.onNewTickets(List.of(withdrawal), this.now);
		run(Duration.ofSeconds(20));
		assertThat(node(1).applied()).isEqualTo(2);
		assertThat(node(5).applied()).isEqualTo(1);
		cutOff(false);
		run(Duration.ofSeconds(20));
		this.nodes.values().forEach((node) -> {
			assertThat(node.applied()).isEqualTo(2);
			assertThat(node.configuration.current().teamOfKey(Tickets.key("k", "a").keyHash())).isEmpty();
		});
	}

	private void cutOff(boolean isCut) {
		for (int inside = 4; inside < 6; inside++) {
			for (int outside = 0; outside < 4; outside++) {
				this.network.cut(this.vmIds.get(inside), this.vmIds.get(outside), isCut);
			}
		}
	}

	/**
	 * Guards against key state that counts as fresh without evidence, or because
	 * forwarded evidence lost its age.
	 */
	@Test
	void forwardedEvidenceKeepsItsAge() {
		start(3);
		setUp(new Team("strict", 1, 1, 1, 30));
		Team strict = node(0).configuration.current().team("strict").orElseThrow();
		long provenNanos = this.now;
		this.network.cut("vm-0", "vm-2", true);
		run(Duration.ofSeconds(25));
		// Only vm-0 reads the store; its evidence reaches vm-2 through vm-1.
		node(0).poll();
		run(Duration.ofSeconds(10));
		long ageNanos = node(2).freshness.evidence(this.now).orElseThrow().ageNanos();
		assertThat(ageNanos).isAtLeast(Duration.ofSeconds(10).toNanos());
		assertThat(ageNanos).isLessThan(this.now - provenNanos);
		node(2).freshness.check(strict, this.now);
		run(Duration.ofSeconds(25));
		for (Node node : this.nodes.values()) {
			RouterException stale = Exceptions.assertThrows(RouterException.class,
					() -> node.freshness.check(strict, this.now));
			assertThat(stale.type()).isEqualTo(ErrorType.STALE_KEY_STATE);
		}
	}

	/**
	 * Guards against evidence that counts although its tickets are not applied, and
	 * against evidence in a response to a pull that was never sent.
	 */
	@Test
	void evidenceCountsOnlyOnceTicketsAreApplied() {
		start(1);
		setUp(Tickets.team("a"));
		long early = node(0).freshness.evidence(this.now).orElseThrow().ageNanos();
		this.now += Duration.ofSeconds(60).toNanos();
		node(0).freshness.observe(2, this.now);
		assertThat(node(0).freshness.evidence(this.now).orElseThrow().ageNanos()).isGreaterThan(early);
		node(0).sync.onPush("vm-9", new TicketPush(77, List.of(), 1, new HeadEvidence(1, 0)), this.now);
		assertThat(node(0).freshness.evidence(this.now).orElseThrow().ageNanos()).isGreaterThan(early);
		node(0).configuration.update((current) -> current.apply(Tickets.ticket(2, "ann", Tickets.team("b"))));
		assertThat(node(0).freshness.evidence(this.now).orElseThrow().ageNanos()).isEqualTo(0);
	}

	/**
	 * Guards against messages that exceed the frame size between daemons or are not
	 * registered.
	 */
	@Test
	void messagesFitInFrames() throws Exception {
		ObjectMapper frames = new ObjectMapper(new MessagePackFactory());
		TicketPush push = new TicketPush(1, List.of("x".repeat(TicketValidator.MAX_BODY_BYTES)), 1, null);
		TicketPush wide = new TicketPush(1, List.of("\u20ac".repeat(TicketSync.MESSAGE_CHARACTERS)), 1,
				new HeadEvidence(3, 4));
		for (TicketPush message : List.of(push, wide)) {
			byte[] bytes = frames.writeValueAsBytes(message);
			assertThat(bytes.length).isLessThan(1024 * 1024);
			assertThat(frames.readValue(bytes, TicketPush.class)).isEqualTo(message);
		}
		byte[] part = frames.writeValueAsBytes(new ConfigurationSnapshot(1, 0, 1, new byte[TicketSync.PART_BYTES]));
		assertThat(part.length).isLessThan(1024 * 1024);
		assertThat(frames.readValue(part, ConfigurationSnapshot.class).bytes()).hasLength(TicketSync.PART_BYTES);
		assertThat(PluginRegistry.load().names(PeerMessageType.class)).containsAtLeast("ticket-push", "ticket-pull",
				"configuration-snapshot");
	}

	/**
	 * Guards against a disconnected VM that is shown as up to date or is missing from the
	 * list.
	 */
	@Test
	void vmsThatHaveNotAppliedATicketAreListed() {
		AcknowledgementTable table = new AcknowledgementTable();
		table.addVms(List.of("vm-0", "vm-1", "vm-2"));
		long second = Duration.ofSeconds(1).toNanos();
		table.report("vm-0", 4, 0);
		table.report("vm-1", 3, 0);
		table.recordApplied(4, 5 * second);
		TicketStatus status = table.status(4, 20 * second);
		assertThat(status.inForceOn()).containsExactly("vm-0");
		assertThat(status.notConfirmed()).containsExactly(new TicketStatus.Unconfirmed("vm-1", 3, 15L, 20L),
				new TicketStatus.Unconfirmed("vm-2", 0, 15L, null));
	}

	/**
	 * Daemon in the simulated fleet.
	 */
	private final class Node {

		private final ConfigurationHolder configuration = new ConfigurationHolder();

		private final KeyFreshness freshness = new KeyFreshness(this.configuration);

		private final TicketLog log = new TicketLog(TicketSyncTests.this.store, this.configuration);

		private final TicketSync sync;

		Node(String vmId) {
			PeerTransport transport = TicketSyncTests.this.network.join(vmId);
			TreeMap<String, Member> members = new TreeMap<>();
			TicketSyncTests.this.vmIds.forEach((id) -> members.put(id, new Member(id, 1, "dc", false)));
			Membership membership = new Membership() {
				@Override
				public MembershipView view() {
					return new MembershipView(vmId, members);
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
			this.sync = new TicketSync(this.configuration, this.freshness, membership, transport,
					new Random(SEED + vmId.hashCode()));
			this.log.onNewTickets((tickets) -> this.sync.onNewTickets(tickets, TicketSyncTests.this.now));
			transport.handle(TicketPush.class, (from, push) -> this.sync.onPush(from, push, TicketSyncTests.this.now));
			transport.handle(TicketPull.class, (from, pull) -> this.sync.onPull(from, pull, TicketSyncTests.this.now));
			transport.handle(ConfigurationSnapshot.class,
					(from, part) -> this.sync.onSnapshot(from, part, TicketSyncTests.this.now));
		}

		void poll() {
			// The store responds to this poll even while it is unavailable to the other
			// nodes.
			TicketSyncTests.this.store.recover();
			this.freshness.observe(this.log.catchUp(), TicketSyncTests.this.now);
		}

		long applied() {
			return this.configuration.current().appliedNumber();
		}

	}

}
