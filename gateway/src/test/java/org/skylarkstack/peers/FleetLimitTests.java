package org.skylarkstack.peers;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.skylarkstack.gateway.GatewaySettings;
import org.skylarkstack.gateway.TeamLimits;
import org.skylarkstack.gateway.TeamPolicy;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests the limit of a team across a fleet in simulated time: each daemon decides with
 * {@link TeamLimits}, and {@link ReportRouter} decides which reports are sent. Reports
 * take some milliseconds, and rounds are not synchronized.
 */
class FleetLimitTests {

	private static final long MILLI = 1_000_000;

	private static final long SECOND = 1_000 * MILLI;

	private static final double RATE = 29_000;

	private static final double BURST = 61_000;

	private static final double TOLERANCE = 0.1;

	private static final double SLACK = 110_000;

	private static final long WINDOW = 8 * SECOND;

	private static final long REQUEST_TOKENS = 5_270;

	private static final int SECONDS = 24;

	private static final int SEEDS = 3;

	private static final double QUIET_SHARE = 0.55;

	private static final TeamPolicy TEAM = new TeamPolicy("team", Set.of("key"), null, true, 200, RATE, BURST);

	private final PriorityQueue<Event> events = new PriorityQueue<>();

	private final Deque<long[]> granted = new ArrayDeque<>();

	private final List<Daemon> daemons = new ArrayList<>();

	private SplittableRandom random = new SplittableRandom();

	private long order;

	private long now;

	private long grantedTokens;

	private long refused;

	private long maxInWindow;

	private void at(long nanos, Runnable action) {
		this.events.add(new Event(nanos, this.order++, action));
	}

	private void simulate(int size, long seed, double burstFactor) {
		this.random = new SplittableRandom(seed);
		List<Peer> fleet = new ArrayList<>();
		for (int number = 0; number < size; number++) {
			fleet.add(new Peer("vm-" + number, "dc-" + number % 6, new InetSocketAddress("127.0.0.1", 1 + number)));
		}
		fleet.forEach((peer) -> this.daemons.add(new Daemon(peer, fleet)));
		this.daemons.forEach(Daemon::start);
		at(SECOND, () -> arrive(burstFactor));
		while (this.now < SECONDS * SECOND) {
			Event next = this.events.remove();
			this.now = next.nanos();
			next.action().run();
		}
	}

	// The team sends half of its rate at first, and several times its rate in bursts.
	private void arrive(double burstFactor) {
		long second = this.now / SECOND;
		boolean bursting = second >= 6 && second < 11 || second >= 17 && second < 21;
		double perSecond = RATE / REQUEST_TOKENS * (bursting ? burstFactor : QUIET_SHARE);
		this.daemons.get(this.random.nextInt(this.daemons.size())).request();
		double gap = -Math.log(1 - this.random.nextDouble()) / perSecond;
		at(this.now + (long) (gap * SECOND), () -> arrive(burstFactor));
	}

	private void recordGrant() {
		this.grantedTokens += REQUEST_TOKENS;
		this.granted.add(new long[] { this.now, REQUEST_TOKENS });
		while (this.granted.getFirst()[0] <= this.now - WINDOW) {
			this.granted.removeFirst();
		}
		this.maxInWindow = Math.max(this.maxInWindow, this.granted.size() * REQUEST_TOKENS);
	}

	/**
	 * Guards against a team that exceeds its limit because it suddenly sends several
	 * times its rate to all daemons of a large fleet.
	 */
	@ParameterizedTest
	@CsvSource({ "7, 2", "7, 7.5", "30, 7.5", "95, 2", "95, 4", "95, 7.5", "300, 7.5" })
	void aBurstStaysWithinTheLimitOfTheFleet(int size, double burstFactor) {
		for (long seed = 1; seed <= SEEDS; seed++) {
			FleetLimitTests fleet = new FleetLimitTests();
			fleet.simulate(size, seed, burstFactor);
			assertThat((double) fleet.maxInWindow).isAtMost((RATE * WINDOW / SECOND + BURST) * (1 + TOLERANCE) + SLACK);
			assertThat((double) fleet.grantedTokens).isAtLeast(QUIET_SHARE * RATE * (SECONDS - 1));
		}
	}

	/** Guards against a team that is refused although it is within its limit. */
	@ParameterizedTest
	@CsvSource({ "7", "95" })
	void aTeamWithinItsRateIsNotRefused(int size) {
		for (long seed = 1; seed <= SEEDS; seed++) {
			FleetLimitTests fleet = new FleetLimitTests();
			fleet.simulate(size, seed, QUIET_SHARE);
			assertThat(fleet.refused).isEqualTo(0);
		}
	}

	private record Event(long nanos, long order, Runnable action) implements Comparable<Event> {

		@Override
		public int compareTo(Event other) {
			int byTime = Long.compare(this.nanos, other.nanos);
			return (byTime != 0) ? byTime : Long.compare(this.order, other.order);
		}

	}

	/**
	 * One daemon of the simulated fleet.
	 */
	private final class Daemon {

		private static final long BATCH_NANOS = 20 * MILLI;

		private final PeerUsage usage = new PeerUsage();

		private final Peer self;

		private final ReportRouter router;

		private final TeamLimits limits;

		private long sequenceNumber;

		private boolean scheduled;

		Daemon(Peer self, List<Peer> fleet) {
			this.self = self;
			this.router = new ReportRouter(self, this.usage);
			List<Peer> others = new ArrayList<>(fleet);
			others.remove(self);
			this.router.setPeers(others);
			Set<String> names = new HashSet<>();
			others.forEach((peer) -> names.add(peer.vmId()));
			this.usage.setRegisteredPeers(names, 0);
			this.limits = new TeamLimits(new GatewaySettings(self.vmId(), self.dataCentre(), true, 5_000, 0.2, 230, 10,
					8, TOLERANCE, SLACK, 8), this.usage, (name) -> TEAM, 0);
		}

		void start() {
			at(FleetLimitTests.this.random.nextLong(ReportRouter.ROUND_PERIOD_MILLIS * MILLI), this::round);
		}

		private void round() {
			this.router.nextRound(report(), FleetLimitTests.this.now, FleetLimitTests.this.now / MILLI)
				.forEach(this::send);
			long period = ReportRouter.ROUND_PERIOD_MILLIS * MILLI;
			at(FleetLimitTests.this.now + period * 7 / 8 + FleetLimitTests.this.random.nextLong(period / 4),
					this::round);
		}

		private UsageReport report() {
			return new UsageReport(this.self.vmId(), 1, ++this.sequenceNumber, this.limits.unitsTaken(), Map.of(),
					Set.of(), CrashReport.NONE, 0);
		}

		private void send(ReportTransfer transfer) {
			for (Peer target : transfer.targets()) {
				long delay = 2 * MILLI + FleetLimitTests.this.random.nextLong(10 * MILLI);
				Daemon receiver = FleetLimitTests.this.daemons.get(target.address().getPort() - 1);
				at(FleetLimitTests.this.now + delay, () -> transfer.reports().forEach(receiver::receive));
			}
		}

		private void receive(UsageReport report) {
			if (!report.vmId().equals(this.self.vmId())) {
				this.usage.recordReport(report, FleetLimitTests.this.now);
			}
		}

		private void schedule() {
			if (!this.scheduled) {
				this.scheduled = true;
				at(FleetLimitTests.this.now + BATCH_NANOS, () -> {
					send(this.router.toGroup(report()));
					this.scheduled = false;
				});
			}
		}

		void request() {
			if (this.limits.tryTake(TEAM, REQUEST_TOKENS, FleetLimitTests.this.now) == 0) {
				recordGrant();
				schedule();
			}
			else {
				FleetLimitTests.this.refused++;
			}
		}

	}

}
