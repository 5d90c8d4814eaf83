package org.skylarkstack.request;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.skylarkstack.configuration.ApiKey;
import org.skylarkstack.configuration.ConfigurationHolder;
import org.skylarkstack.configuration.EngineNode;
import org.skylarkstack.configuration.EngineRole;
import org.skylarkstack.configuration.ObjectKind;
import org.skylarkstack.configuration.Team;
import org.skylarkstack.configuration.Ticket;
import org.skylarkstack.configuration.TicketChange;
import org.skylarkstack.kernel.Cancellation;
import org.skylarkstack.limit.TeamLimiter;
import org.skylarkstack.limit.TokenReservation;
import org.skylarkstack.membership.Member;
import org.skylarkstack.membership.Membership;
import org.skylarkstack.membership.MembershipView;
import org.skylarkstack.misc.Hashes;
import org.skylarkstack.peer.FakePeerNetwork;
import org.skylarkstack.peer.PeerTransport;
import org.skylarkstack.schedule.Placement;
import org.skylarkstack.schedule.PlacementRelease;
import org.skylarkstack.schedule.PlacementRequest;
import org.skylarkstack.schedule.Placer;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Request path of one VM with fake engines. It checks that every placement and token
 * reservation is released exactly once.
 */
final class RequestFixture implements Placer, TeamLimiter {

	static final String KEY_HASH = Hashes.sha256("key");

	static final Team TEAM = new Team("team", 1_000, 10_000, 1, null);

	final FakeTime time = new FakeTime();

	final FakeEngineClient engines = new FakeEngineClient();

	final FakeTableStore store;

	final ConfigurationHolder configuration = new ConfigurationHolder();

	final OpenRequests openRequests = new OpenRequests(10, this.configuration);

	final CrashSuspects suspects = new CrashSuspects(600_000_000_000L);

	final RequestCounters counters = new RequestCounters();

	final List<PlacementRelease> releases = new ArrayList<>();

	final List<PlacementRequest> placed = new ArrayList<>();

	final EngineCanceller canceller = new EngineCanceller(this.engines,
			(id) -> this.configuration.current().find(EngineNode.class, ObjectKind.ENGINE, id), this.time);

	final ShutdownSequence shutdown = new ShutdownSequence(2_000_000_000L, 3_000_000_000L, 1_000_000_000L);

	final CrashReporter crashReporter;

	final RequestPipeline pipeline;

	Runnable onPlace = () -> {
	};

	private final InFlightPlacer placer = new InFlightPlacer(this.configuration);

	private final Set<Placement> openPlacements = new HashSet<>();

	private final Set<TokenReservation> openReservations = new HashSet<>();

	RequestFixture() {
		this("vm-0", List.of("vm-0"), new FakePeerNetwork(new Random(1), 0).join("vm-0"), new FakeTableStore());
	}

	RequestFixture(String vmId, List<String> vmIds, PeerTransport transport, FakeTableStore store) {
		this.store = store;
		RetryBudget budget = new RetryBudget(this.time.nanos());
		this.crashReporter = new CrashReporter(this.suspects, this.openRequests, membership(vmId, vmIds), transport,
				this.time);
		this.pipeline = new RequestPipeline(new RequestComponents(vmId, new RequestIds(vmId, 1), this.configuration,
				this, this, this.engines, this.canceller, new EngineQuarantine(), budget, new RetryPolicy(budget),
				this.suspects, new SuspectRunGrants(store, 600_000), this.crashReporter,
				new ShutdownAdmission(this.shutdown), this.counters, this.time));
		List<TicketChange> changes = new ArrayList<>();
		changes.add(TicketChange.set(TEAM));
		changes.add(TicketChange.set(new ApiKey("key", KEY_HASH, TEAM.id())));
		for (String id : List.of("p1", "p2", "p3", "d1", "d2", "d3")) {
			EngineRole role = id.startsWith("p") ? EngineRole.PREFILL : EngineRole.DECODE;
			changes
				.add(TicketChange.set(new EngineNode(id, "http://" + id, "dc", "model", role, 20, 64, 1, true, false)));
		}
		this.configuration.update((current) -> current.apply(new Ticket(1, "test", changes)));
	}

	static Membership membership(String self, List<String> vmIds) {
		TreeMap<String, Member> members = new TreeMap<>();
		vmIds.forEach((id) -> members.put(id, new Member(id, 1, "dc", false)));
		return new Membership() {

			@Override
			public MembershipView view() {
				return new MembershipView(self, members);
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

	void withdrawKey() {
		this.configuration.update((current) -> current.apply(
				new Ticket(current.appliedNumber() + 1, "test", List.of(TicketChange.delete(ObjectKind.KEY, "key")))));
	}

	static CompletionRequest request(boolean idempotent) {
		ObjectNode body = JsonNodeFactory.instance.objectNode().put("model", "model").put("prompt", "hello");
		return CompletionRequest.parse("/v1/completions", body, idempotent);
	}

	/** Runs a request and returns the events that the caller received. */
	List<String> run(boolean idempotent, Cancellation cancellation) {
		List<String> events = new ArrayList<>();
		run(idempotent, cancellation, events::add);
		return events;
	}

	void run(boolean idempotent, Cancellation cancellation, ResponseSink sink) {
		run(request(idempotent), cancellation, sink);
	}

	void run(CompletionRequest request, Cancellation cancellation, ResponseSink sink) {
		OpenRequest open = new OpenRequest(KEY_HASH, TEAM.id(), request.fingerprint(TEAM.id()), cancellation);
		try (OpenRequests.Entry entry = this.openRequests.add(open)) {
			this.pipeline.run(TEAM, request, cancellation, sink);
		}
	}

	void assertAllReleased() {
		this.configuration.current()
			.objectsOfType(EngineNode.class)
			.forEach((engine) -> this.canceller.cancelPending(engine.id()));
		assertWithMessage("held by engines").that(this.engines.holds).isEmpty();
		assertWithMessage("placements").that(this.openPlacements).isEmpty();
		assertWithMessage("reservations").that(this.openReservations).isEmpty();
	}

	@Override
	public Placement place(PlacementRequest request) {
		this.placed.add(request);
		this.onPlace.run();
		Placement placement = this.placer.place(request);
		assertThat(this.openPlacements.add(placement)).isTrue();
		return placement;
	}

	@Override
	public void release(Placement placement, PlacementRelease release) {
		assertWithMessage("second release").that(this.openPlacements.remove(placement)).isTrue();
		this.placer.release(placement, release);
		this.releases.add(release);
	}

	@Override
	public TokenReservation reserve(Team team, long tokens, long nowNanos) {
		TokenReservation reservation = new TokenReservation(team.id(), tokens);
		this.openReservations.add(reservation);
		return reservation;
	}

	@Override
	public void settle(TokenReservation reservation, long usedTokens, long nowNanos) {
		assertWithMessage("second settlement").that(this.openReservations.remove(reservation)).isTrue();
		assertThat(usedTokens).isAtMost(reservation.tokens());
	}

}
