package org.skylarkstack.standin;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Tests of {@link EngineModel}.
 */
class EngineModelTests {

	private static final long MILLI = 1_000_000;

	private static final EngineSpec SPEC = EngineSpec.withDefaults("engine", 10)
		.withReporting(new EngineReporting(200, 300, 0.2));

	private final EngineModel model = new EngineModel(SPEC, new Random(1));

	private long now;

	private static EngineRequest request(String id, EngineRequest.Kind kind, int prompt, int output) {
		return new EngineRequest(id, "vm.1", kind, prompt, List.of(), output, 0, 0, EngineStage.NONE);
	}

	private long offer(EngineRequest request) {
		return this.model.offer(request, this.now).orElseThrow();
	}

	private List<EngineEvent> runUntilIdle() {
		List<EngineEvent> events = new ArrayList<>(this.model.advance(this.now));
		while (this.model.nextAt() != Long.MAX_VALUE) {
			this.now = this.model.nextAt();
			events.addAll(this.model.advance(this.now));
		}
		return events;
	}

	private static long count(List<EngineEvent> events, EngineEvent.Type type) {
		return events.stream().filter((event) -> event.type() == type).count();
	}

	/**
	 * Guards against a prefill result that is sent twice, or that is sent or keeps its
	 * memory after it expired.
	 */
	@Test
	void sendsPrefillResultOnceAndOnlyBeforeItExpires() {
		long sent = offer(request("a", EngineRequest.Kind.PREFILL, 1_000, 0));
		long expired = offer(request("b", EngineRequest.Kind.PREFILL, 1_000, 0));
		this.model.advance(this.now);
		this.now = 200 * MILLI;
		assertThat(this.model.advance(this.now)).hasSize(2);
		assertThat(this.model.send(sent, this.now)).isNotEqualTo(OptionalLong.empty());
		assertThat(this.model.send(sent, this.now)).isEqualTo(OptionalLong.empty());
		this.now = 1_500 * MILLI;
		this.model.advance(this.now);
		assertThat(this.model.send(expired, this.now)).isEqualTo(OptionalLong.empty());
		assertThat(this.model.held(this.now)).isEmpty();
		assertThat(this.model.load().usedPieces()).isEqualTo(0);
	}

	/**
	 * Guards against prefills that run in parallel, so that further ones take no time.
	 */
	@Test
	void runsOnePrefillAtATimeInOrder() {
		offer(request("a", EngineRequest.Kind.PREFILL, 2_000, 0));
		long second = offer(request("b", EngineRequest.Kind.PREFILL, 2_000, 0));
		this.model.advance(this.now);
		long prefillNanos = SPEC.speed().prefillNanos(2_000, 0);
		assertThat(this.model.advance(2 * prefillNanos - 1)).hasSize(1);
		assertThat(this.model.advance(2 * prefillNanos))
			.containsExactly(new EngineEvent(second, EngineEvent.Type.PREFILLED, 0));
	}

	/**
	 * Guards against a decode step whose time ignores the batch size or grows in
	 * proportion to it, such as tenfold.
	 */
	@Test
	void stepTimeGrowsLessThanTheBatch() {
		long alone = SPEC.speed().stepNanos(1);
		assertThat(SPEC.speed().stepNanos(20)).isGreaterThan(alone);
		assertThat(SPEC.speed().stepNanos(20)).isLessThan(2 * alone);
	}

	/** Guards against lost, repeated or reordered tokens and against leaked memory. */
	@Test
	void decodesEachTokenOnceAndFreesTheMemory() {
		for (int index = 0; index < 30; index++) {
			offer(request("r" + index, EngineRequest.Kind.WHOLE, 1_500, 40));
		}
		List<EngineEvent> events = runUntilIdle();
		assertThat(count(events, EngineEvent.Type.TOKEN)).isEqualTo(30 * 39);
		assertThat(count(events, EngineEvent.Type.LAST_TOKEN)).isEqualTo(30);
		for (long handle = 1; handle <= 30; handle++) {
			long expected = handle;
			assertThat(events.stream().filter((event) -> event.handle() == expected).map(EngineEvent::value).toList())
				.isInStrictOrder();
		}
		assertThat(this.model.load().usedPieces()).isEqualTo(0);
		assertThat(this.model.workCounts().get("r7")).isEqualTo(new EngineWorkCounts(1, 1_500, 0, 1, 40, 1));
	}

	/** Guards against a decode that starts before its KV cache is transferred. */
	@Test
	void decodesImportedPrefillOnlyAfterItsTransfer() {
		long handle = offer(request("a", EngineRequest.Kind.DECODE, 4_000, 2));
		assertThat(this.model.advance(this.now)).containsExactly(new EngineEvent(handle, EngineEvent.Type.PULL, 0));
		assertThat(this.model.nextAt()).isEqualTo(Long.MAX_VALUE);
		this.model.receive(handle, 50 * MILLI, this.now);
		assertThat(this.model.advance(59 * MILLI)).isEmpty();
		assertThat(this.model.advance(60 * MILLI)).containsExactly(new EngineEvent(handle, EngineEvent.Type.TOKEN, 1));
	}

	/** Guards against allocations beyond the engine's memory under random requests. */
	@Test
	void neverExceedsItsMemory() {
		for (long seed = 1; seed <= 20; seed++) {
			Random random = new Random(seed);
			EngineModel small = new EngineModel(SPEC.withMemory(new EngineMemory(10, 8, 800, 64)), random);
			long time = 0;
			int offered = 0;
			int ended = 0;
			for (int round = 0; round < 40_000 && (round < 500 || ended < offered); round++) {
				if (round < 500 && random.nextInt(5) == 0
						&& small
							.offer(request("r" + round, EngineRequest.Kind.WHOLE, 1 + random.nextInt(6_000),
									1 + random.nextInt(3_000)), time)
							.isPresent()) {
					offered++;
				}
				if (random.nextInt(50) == 0) {
					ended += small.cancel("r" + random.nextInt(500));
				}
				ended += (int) count(small.advance(time), EngineEvent.Type.LAST_TOKEN);
				assertWithMessage("seed %s", seed).that(small.load().usedPieces()).isIn(zeroTo(10));
				time = (small.nextAt() == Long.MAX_VALUE) ? time + MILLI : small.nextAt();
			}
			assertWithMessage("seed %s", seed).that(ended).isEqualTo(offered);
		}
	}

	private static com.google.common.collect.Range<Integer> zeroTo(int highest) {
		return com.google.common.collect.Range.closed(0, highest);
	}

	/** Guards against a low-priority request that runs before a high-priority one. */
	@Test
	void servesLowerPriorityValuesFirst() {
		offer(request("first", EngineRequest.Kind.PREFILL, 1_000, 0));
		EngineRequest batch = new EngineRequest("batch", "vm.1", EngineRequest.Kind.PREFILL, 1_000, List.of(), 0, 0, 5,
				EngineStage.NONE);
		this.model.advance(this.now);
		offer(batch);
		long urgent = offer(request("urgent", EngineRequest.Kind.PREFILL, 1_000, 0));
		assertThat(runUntilIdle().get(1).handle()).isEqualTo(urgent);
	}

	/**
	 * Guards against a cache that finds no stored prefix, never evicts, or reports its
	 * events without delay or loss.
	 */
	@Test
	void evictsBlocksBeyondCapacityAndDelaysCacheEvents() {
		List<Long> blocks = new ArrayList<>();
		for (long block = 0; block < 600; block++) {
			blocks.add(block);
		}
		PrefixCache cache = new PrefixCache(512, SPEC.reporting(), new Random(3));
		cache.store(blocks.subList(0, 100), 0);
		assertThat(cache.cachedBlocks(blocks.subList(0, 100))).isEqualTo(100);
		cache.store(blocks.subList(100, 600), 0);
		assertThat(cache.cachedBlocks(blocks.subList(0, 100))).isEqualTo(12);
		assertThat(cache.eventsAfter(0, 299 * MILLI)).isEmpty();
		List<CacheEvent> seen = cache.eventsAfter(0, 300 * MILLI);
		assertThat(seen.size()).isLessThan(688);
		assertThat(seen.get(seen.size() - 1).sequence()).isGreaterThan((long) seen.size());
	}

	/** Guards against a load report without the lag of a real engine. */
	@Test
	void loadReportLagsBehindCurrentLoad() {
		offer(request("a", EngineRequest.Kind.PREFILL, 20_000, 0));
		this.model.advance(this.now);
		assertThat(this.model.load().usedPieces()).isEqualTo(10);
		assertThat(this.model.loadReport(199 * MILLI).usedPieces()).isEqualTo(0);
		assertThat(this.model.loadReport(200 * MILLI).usedPieces()).isEqualTo(10);
	}

	/** Guards against memory of a stalled request that is freed without a cancel. */
	@Test
	void stalledRequestKeepsItsMemoryUntilCancelled() {
		offer(new EngineRequest("a", "vm.1", EngineRequest.Kind.PREFILL, 3_000, List.of(), 0, 0, 0,
				EngineStage.PREFILL));
		runUntilIdle();
		assertThat(this.model.held(5_000 * MILLI).get(0).idleMillis()).isEqualTo(5_000);
		assertThat(this.model.held(this.now).get(0).pieces()).isEqualTo(2);
		assertThat(this.model.cancel("a")).isEqualTo(1);
		assertThat(this.model.held(this.now)).isEmpty();
	}

	/** Guards against a request that exceeds the memory and is queued forever. */
	@Test
	void rejectsRequestLargerThanMemory() {
		assertThat(this.model.offer(request("a", EngineRequest.Kind.WHOLE, 200_000, 10), 0))
			.isEqualTo(OptionalLong.empty());
	}

}
