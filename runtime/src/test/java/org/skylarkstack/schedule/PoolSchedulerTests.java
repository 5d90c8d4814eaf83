package org.skylarkstack.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.skylarkstack.configuration.EngineNode;
import org.skylarkstack.engine.EngineLoad;
import org.skylarkstack.kernel.ErrorType;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Tests of {@link PoolScheduler}.
 */
class PoolSchedulerTests {

	private static final long MILLIS = Engines.MILLIS;

	private final RandomGenerator random = new Random(1);

	private final PoolScheduler scheduler = new PoolScheduler();

	@BeforeEach
	void setUp() {
		this.scheduler.setEngines(List.of(Engines.prefill("p1"), Engines.decode("d1", 2, 4)), 0);
	}

	private void offer(PlacementRequest request, long nowNanos) {
		this.scheduler.offer(new OfferedRequest(request, "vm1.1", nowNanos), nowNanos);
	}

	private List<PlacementDecision> poll(long nowNanos) {
		return this.scheduler.poll(nowNanos, this.random);
	}

	/**
	 * Guards against a prefill that is granted while no decode slot is free: its result
	 * would wait on the prefill engine.
	 */
	@Test
	void waitsForDecodeSlotBeforePrefill() {
		for (int i = 0; i < 3; i++) {
			offer(Engines.request("r" + i, "t" + i, RequestClass.INTERACTIVE, 100), 0);
		}
		List<PlacementDecision> granted = poll(0);
		assertThat(granted).hasSize(2);
		assertThat(poll(100 * MILLIS)).isEmpty();
		this.scheduler.release(granted.get(0).requestId(), granted.get(0).grantId(), new PlacementRelease(150, ""),
				110 * MILLIS);
		assertThat(poll(110 * MILLIS)).hasSize(1);
	}

	/**
	 * Guards against a prefill that is granted while the decode engine lacks the memory
	 * for the request.
	 */
	@Test
	void waitsForDecodeMemoryBeforePrefill() {
		offer(Engines.request("large", "t1", RequestClass.BATCH, 5_000), 0);
		assertThat(poll(0)).isEmpty();
		this.scheduler.setEngines(List.of(Engines.prefill("p1"), Engines.decode("d1", 4, 4)), 0);
		assertThat(poll(0)).hasSize(1);
		offer(Engines.request("next", "t1", RequestClass.INTERACTIVE, 2_000), 600 * MILLIS);
		assertThat(poll(600 * MILLIS)).isEmpty();
		assertThat(this.scheduler.queued()).hasSize(1);
	}

	/**
	 * Guards against prefill work for a request that cannot meet its first-token target:
	 * the request must be refused before it is granted.
	 */
	@Test
	void refusesBeforePrefillWhenFirstTokenTargetIsUnreachable() {
		offer(Engines.request("long", "t1", RequestClass.INTERACTIVE, 9_000), 0);
		List<PlacementDecision> decisions = poll(0);
		assertThat(decisions.get(0).refusal()).isEqualTo(ErrorType.DEADLINE_UNREACHABLE);
		assertThat(this.scheduler.grantCount()).isEqualTo(0);
		assertThat(this.scheduler.teamCount()).isEqualTo(0);
	}

	/**
	 * Guards against a batch request that is granted before a waiting interactive one,
	 * and against one that is still not granted near its deadline.
	 */
	@Test
	void batchWaitsForInteractiveUntilItsDeadlineIsNear() {
		this.scheduler.setEngines(List.of(Engines.prefill("p1"), Engines.decode("d1", 3, 8)), 0);
		offer(Engines.request("b", "t1", RequestClass.BATCH, 100), 0);
		offer(Engines.request("i", "t2", RequestClass.INTERACTIVE, 100), 0);
		assertThat(poll(0).stream().map(PlacementDecision::requestId).toList()).containsExactly("i");
		assertThat(poll(1_000 * MILLIS)).isEmpty();
		assertThat(poll(50_000 * MILLIS).stream().map(PlacementDecision::requestId).toList()).containsExactly("b");
	}

	/**
	 * Guards against a batch request that stays queued after its deadline when no engine
	 * is available.
	 */
	@Test
	void refusesBatchAfterItsDeadline() {
		this.scheduler.setEngines(List.of(), 0);
		offer(Engines.request("b", "t1", RequestClass.BATCH, 100), 0);
		assertThat(poll(59_000 * MILLIS)).isEmpty();
		assertThat(poll(61_000 * MILLIS).get(0).refusal()).isEqualTo(ErrorType.DEADLINE_UNREACHABLE);
	}

	/**
	 * Guards against a team that gets a larger share than a team of equal weight because
	 * it sends more requests.
	 */
	@Test
	void sharesByWeightWhenOneTeamFloods() {
		this.scheduler.setEngines(List.of(Engines.prefill("p1"), Engines.decode("d1", 5, 50)), 0);
		Map<String, Integer> served = new HashMap<>();
		long now = 0;
		int sequence = 0;
		for (int round = 0; round < 600; round++) {
			this.scheduler.applyLoadReport("p1", new EngineLoad(0, 0, 0, 0), now, now);
			this.scheduler.applyLoadReport("d1", new EngineLoad(0, 0, 0, 0), now, now);
			for (int i = 0; i < 10; i++) {
				String team = (i < 8) ? "flood" : "quiet";
				offer(Engines.request(team + sequence++, team, RequestClass.BATCH, 400), now);
			}
			for (PlacementDecision decision : poll(now)) {
				if (decision.placement() != null) {
					served.merge(decision.requestId().replaceAll("[0-9]", ""), 1, Integer::sum);
					this.scheduler.release(decision.requestId(), decision.grantId(), new PlacementRelease(450, ""),
							now);
				}
			}
			now += 50 * MILLIS;
		}
		assertThat(served.getOrDefault("quiet", 0)).isAtLeast(290);
		assertThat(served.getOrDefault("flood", 0)).isAtLeast(290);
	}

	/**
	 * Guards against a queue that grows without bound: a request beyond the limit of its
	 * team must be refused.
	 */
	@Test
	void refusesWhenQueueIsFull() {
		this.scheduler.setEngines(List.of(), 0);
		for (int i = 0; i <= SchedulerOptions.DEFAULT.maxQueuedPerTeam(); i++) {
			offer(Engines.request("b" + i, "t1", RequestClass.BATCH, 100), 0);
		}
		assertThat(poll(0).stream().map(PlacementDecision::refusal).toList()).containsExactly(ErrorType.QUEUE_FULL);
	}

	/**
	 * Guards against overloading an engine with requests that other VMs placed by a local
	 * decision: they appear only in load reports.
	 */
	@Test
	void countsUntrackedRequestsOfReports() {
		this.scheduler.applyLoadReport("d1", new EngineLoad(2, 0, 2, 0), 400 * MILLIS, 400 * MILLIS);
		offer(Engines.request("r", "t1", RequestClass.INTERACTIVE, 100), 400 * MILLIS);
		assertThat(poll(400 * MILLIS)).isEmpty();
	}

	/**
	 * Guards against a prefill backlog that loses a recent grant when a load report shows
	 * an older state of the engine.
	 */
	@Test
	void keepsGrantsThatReportCannotHaveSeen() {
		offer(Engines.request("r", "t1", RequestClass.INTERACTIVE, 3_000), 400 * MILLIS);
		assertThat(poll(400 * MILLIS)).hasSize(1);
		this.scheduler.applyLoadReport("p1", new EngineLoad(0, 0, 0, 0), 405 * MILLIS, 405 * MILLIS);
		offer(Engines.request("s", "t1", RequestClass.INTERACTIVE, 4_000), 405 * MILLIS);
		assertThat(poll(405 * MILLIS).get(0).refusal()).isEqualTo(ErrorType.DEADLINE_UNREACHABLE);
	}

	/**
	 * Guards against new requests on engines that are leaving or have failed, and against
	 * more than one probe of a failed engine at a time.
	 */
	@Test
	void avoidsLeavingAndFailedEngines() {
		EngineNode leaving = new EngineNode("d2", "http://d2", "a", "m",
				org.skylarkstack.configuration.EngineRole.DECODE, 20, 20, 16_000, true, true);
		this.scheduler.setEngines(List.of(Engines.prefill("p1"), Engines.decode("d1", 9, 9), leaving), 0);
		offer(Engines.request("r", "t1", RequestClass.INTERACTIVE, 100), 0);
		PlacementDecision first = poll(0).get(0);
		this.scheduler.release("r", first.grantId(), new PlacementRelease(0, "d1"), MILLIS);
		offer(Engines.request("s", "t1", RequestClass.INTERACTIVE, 100), 2 * MILLIS);
		assertThat(poll(2 * MILLIS).get(0).refusal()).isEqualTo(ErrorType.NO_ENGINE);
		offer(Engines.request("probe", "t1", RequestClass.INTERACTIVE, 100), 1_100 * MILLIS);
		offer(Engines.request("second", "t1", RequestClass.INTERACTIVE, 100), 1_100 * MILLIS);
		List<PlacementDecision> probed = poll(1_100 * MILLIS);
		assertThat(probed.get(0).placement()).isNotNull();
		assertThat(probed.get(1).refusal()).isEqualTo(ErrorType.NO_ENGINE);
		this.scheduler.release("probe", probed.get(0).grantId(), new PlacementRelease(150, ""), 1_200 * MILLIS);
		offer(Engines.request("after", "t1", RequestClass.INTERACTIVE, 100), 1_200 * MILLIS);
		assertThat(poll(1_200 * MILLIS).get(0).placement()).isNotNull();
	}

	/**
	 * Guards against two isolated requests on one engine: each of them is suspected of
	 * crashing the engine.
	 */
	@Test
	void grantsOneIsolatedRequestPerEngine() {
		for (String id : List.of("a", "b")) {
			PlacementRequest request = Engines.request(id, "t1", RequestClass.BATCH, 100);
			offer(new PlacementRequest(id, "vm1", "m", "t1", 1, request.requestClass(), 100, 10, List.of(),
					request.waitNanos(), true), 0);
		}
		this.scheduler.setEngines(List.of(Engines.prefill("p1"), Engines.decode("d1", 9, 9)), 0);
		assertThat(poll(0)).hasSize(1);
		assertThat(poll(500 * MILLIS)).isEmpty();
	}

	/**
	 * Guards against a placement that ignores cached prefix blocks, against blocks that
	 * are still counted as cached after a gap in the events, and against an index that
	 * grows beyond its limit.
	 */
	@Test
	void usesPrefixCacheUntilGap() {
		this.scheduler.setEngines(List.of(Engines.prefill("p1"), Engines.prefill("p2"), Engines.decode("d1", 90, 900)),
				0);
		List<Long> hashes = List.of(1L, 2L, 3L, 4L);
		this.scheduler.applyCacheEvent(new CacheEvent("p2", 1, hashes, List.of()));
		for (int i = 0; i < 5; i++) {
			long now = i * 200 * MILLIS;
			offer(new PlacementRequest("r" + i, "vm1", "m", "t1", 1, RequestClass.INTERACTIVE, 1_100, 10, hashes,
					500 * MILLIS, false), now);
			assertThat(poll(now).get(0).placement()).isEqualTo(new Placement("r" + i, "m", "p2", "d1"));
		}
		PrefixIndex index = new PrefixIndex(3);
		index.apply(new CacheEvent("p2", 1, List.of(1L, 2L), List.of()));
		assertThat(index.cachedTokens(hashes)).isEqualTo(512);
		index.apply(new CacheEvent("p2", 3, List.of(3L), List.of()));
		assertThat(index.cachedTokens(hashes)).isEqualTo(0);
		index.addExpected(List.of(5L, 6L, 7L, 8L));
		assertThat(index.size()).isEqualTo(3);
	}

	/**
	 * Guards against decode slots and team state that are never freed: after random
	 * offers, cancels, releases, load reports, engine changes and VM crashes, every slot
	 * must be free and no team state may remain.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void freesEverythingAfterRandomEvents(long seed) {
		RandomGenerator events = new Random(seed);
		List<EngineNode> nodes = List.of(Engines.prefill("p1"), Engines.prefill("p2"), Engines.decode("d1", 5, 9),
				Engines.decode("d2", 7, 12));
		PoolScheduler pool = new PoolScheduler();
		pool.setEngines(nodes, 0);
		Map<String, Long> live = new HashMap<>();
		Set<String> answered = new HashSet<>();
		List<String> offered = new ArrayList<>();
		long now = 0;
		for (int step = 0; step < 4_000; step++) {
			now += events.nextLong(20 * MILLIS);
			String known = offered.isEmpty() ? "" : offered.get(events.nextInt(offered.size()));
			switch (events.nextInt(8)) {
				case 0, 1, 2 -> {
					String id = "r" + step;
					RequestClass kind = RequestClass.values()[events.nextInt(2)];
					offered.add(id);
					pool.offer(new OfferedRequest(
							Engines.request(id, "t" + events.nextInt(4), kind, 1 + events.nextInt(4_000)),
							"vm" + events.nextInt(3), now), now);
				}
				case 3 -> {
					pool.cancel(known, now);
					live.remove(known);
				}
				case 4, 5 -> {
					Long grant = live.remove(known);
					pool.release(known, (grant != null) ? grant : 0, new PlacementRelease(events.nextInt(200), ""),
							now);
				}
				case 6 -> pool.setEngines((events.nextInt(4) == 0) ? nodes.subList(0, 3) : nodes, now);
				default -> pool.applyLoadReport("d1", new EngineLoad(events.nextInt(3), 0, 1, 0), now, now);
			}
			for (PlacementDecision decision : pool.poll(now, events)) {
				assertWithMessage("seed %s: one answer for %s", seed, decision.requestId())
					.that(answered.add(decision.requestId()))
					.isTrue();
				if (decision.placement() != null) {
					live.put(decision.requestId(), decision.grantId());
				}
			}
		}
		for (int vm = 0; vm < 3; vm++) {
			pool.removeHolder("vm" + vm, now);
		}
		now += 200 * MILLIS;
		pool.applyLoadReport("d1", new EngineLoad(0, 0, 0, 0), now, now);
		pool.setEngines(nodes, now);
		pool.poll(now, events);
		assertWithMessage("seed %s: grants", seed).that(pool.grantCount()).isEqualTo(0);
		assertWithMessage("seed %s: queued", seed).that(pool.queued()).isEmpty();
		assertWithMessage("seed %s: teams", seed).that(pool.teamCount()).isEqualTo(0);
		assertWithMessage("seed %s: slots", seed).that(pool.freeSlots("d1")).isEqualTo(5);
		assertWithMessage("seed %s: slots", seed).that(pool.freeSlots("d2")).isEqualTo(7);
	}

	/**
	 * Guards against engines that stay reserved for a grant whose holder has stopped
	 * renewing it.
	 */
	@Test
	void freesGrantThatIsNotRenewed() {
		offer(Engines.request("r", "t1", RequestClass.INTERACTIVE, 100), 0);
		PlacementDecision granted = poll(0).get(0);
		HeldPlacement held = new HeldPlacement("r", granted.grantId(), "p1", "d1", "t1", 1, 1, false);
		this.scheduler.renew(held, "vm1.1", 9_000 * MILLIS);
		poll(18_000 * MILLIS);
		assertThat(this.scheduler.grantCount()).isEqualTo(1);
		poll(19_000 * MILLIS);
		assertThat(this.scheduler.grantCount()).isEqualTo(0);
	}

}
