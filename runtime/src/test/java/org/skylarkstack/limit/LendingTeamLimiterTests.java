package org.skylarkstack.limit;

import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.skylarkstack.configuration.ConfigurationHolder;
import org.skylarkstack.configuration.Team;
import org.skylarkstack.configuration.Ticket;
import org.skylarkstack.configuration.TicketChange;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.Exceptions;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.membership.Member;
import org.skylarkstack.membership.MembershipService;
import org.skylarkstack.membership.MembershipTiming;
import org.skylarkstack.misc.TimeSource;
import org.skylarkstack.peer.PeerMessage;
import org.skylarkstack.peer.PeerTransport;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests the waits of {@link LendingTeamLimiter} on real clocks and threads, with delayed
 * messages and a slow store.
 */
class LendingTeamLimiterTests {

	private static final long SECOND = 1_000_000_000L;

	private static final Team TEAM = new Team("recovery", 100_000, 600_000, 1, null);

	private final ScheduledExecutorService deliveries = Executors.newSingleThreadScheduledExecutor();

	private final Map<String, Vm> vms = new ConcurrentHashMap<>();

	private final FaultySlotStore store = new FaultySlotStore();

	private volatile long messageDelayMillis;

	@AfterEach
	void stop() {
		this.vms.values().forEach(Vm::close);
		this.deliveries.shutdownNow();
	}

	private Vm start(String vmId, String... peers) {
		Vm vm = new Vm(vmId, List.of(peers));
		this.vms.put(vmId, vm);
		return vm;
	}

	private static void awaitSlots(Vm... vms) throws InterruptedException {
		for (Vm vm : vms) {
			for (long end = System.nanoTime() + 20 * SECOND; vm.limiter.slot() < 0 && System.nanoTime() < end;) {
				Thread.sleep(10);
			}
			assertThat(vm.limiter.slot()).isAtLeast(0);
		}
	}

	/**
	 * Guards against a new fleet that refuses the first request of a team because the
	 * rate slot has not been claimed yet.
	 */
	@Test
	void firstRequestWaitsForTheRateSlot() {
		this.store.delayMillis = 150;
		Vm vm = start("vm-0");
		vm.limiter.reserve(TEAM, 2_000, System.nanoTime());
	}

	/**
	 * Guards against a refusal of a team within its limit because the owner is busy and
	 * its response takes longer than usual.
	 */
	@Test
	void requestWaitsForALateResponseOfTheOwner() throws InterruptedException {
		Vm first = start("vm-0", "vm-1");
		Vm second = start("vm-1", "vm-0");
		awaitSlots(first, second);
		this.messageDelayMillis = 30;
		Vm borrower = ShardSet.owners(first.membership.view()).get(ShardSet.shardOf(TEAM.id())).equals("vm-0") ? second
				: first;
		for (int request = 0; request < 5; request++) {
			borrower.limiter.reserve(TEAM, 2_000, System.nanoTime());
		}
	}

	/** Guards against a wait of requests of a team that has used its tokens. */
	@Test
	void teamThatHasUsedItsTokensIsRefusedSoon() throws InterruptedException {
		Vm vm = start("vm-0");
		awaitSlots(vm);
		Thread.sleep(TimeUnit.NANOSECONDS.toMillis(LendingTerms.forPeriod(SECOND).settlingNanos()));
		vm.limiter.reserve(TEAM, 590_000, System.nanoTime());
		long started = System.nanoTime();
		RouterException refusal = Exceptions.assertThrows(RouterException.class,
				() -> vm.limiter.reserve(TEAM, 300_000, started));
		assertThat(refusal.type()).isEqualTo(ErrorType.RATE_LIMITED);
		assertThat(System.nanoTime() - started).isLessThan(SECOND);
	}

	/**
	 * VM with its limiter and membership.
	 */
	private final class Vm implements PeerTransport {

		private final String vmId;

		private final Map<Class<?>, BiConsumer<String, PeerMessage>> handlers = new ConcurrentHashMap<>();

		private final MembershipService membership;

		private final LendingTeamLimiter limiter;

		Vm(String vmId, List<String> peers) {
			this.vmId = vmId;
			ConfigurationHolder configuration = new ConfigurationHolder();
			configuration.update((current) -> current.apply(new Ticket(1, "test", List.of(TicketChange.set(TEAM)))));
			this.membership = new MembershipService(new Member(vmId, vmId.hashCode(), "dc", false), peers,
					MembershipTiming.DEFAULT, this, () -> List.of("vm-0", "vm-1"), () -> 1, TimeSource.system());
			this.limiter = new LendingTeamLimiter(vmId, peers.size() + 1, LendingTerms.forPeriod(SECOND),
					this.membership, this, LendingTeamLimiterTests.this.store, configuration, TimeSource.system(),
					new SplittableRandom(vmId.hashCode()));
			this.membership.start();
			this.limiter.start();
		}

		void close() {
			this.limiter.abandon();
			this.membership.close();
		}

		@Override
		public boolean send(String to, PeerMessage message) {
			LendingTeamLimiterTests.this.deliveries.schedule(() -> {
				Vm receiver = LendingTeamLimiterTests.this.vms.get(to);
				BiConsumer<String, PeerMessage> handler = (receiver != null) ? receiver.handlers.get(message.getClass())
						: null;
				if (handler != null) {
					handler.accept(this.vmId, message);
				}
			}, LendingTeamLimiterTests.this.messageDelayMillis, TimeUnit.MILLISECONDS);
			return true;
		}

		@Override
		@SuppressWarnings("unchecked")
		public <M extends PeerMessage> void handle(Class<M> type, BiConsumer<String, M> handler) {
			this.handlers.put(type, (from, message) -> handler.accept(from, (M) message));
		}

	}

}
