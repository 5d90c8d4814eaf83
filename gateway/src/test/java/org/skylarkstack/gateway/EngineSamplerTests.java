package org.skylarkstack.gateway;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.skylarkstack.peers.CrashReport;
import org.skylarkstack.peers.PeerUsage;
import org.skylarkstack.peers.RequestMemory;
import org.skylarkstack.peers.UsageReport;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link EngineSampler} and of {@link DecodeEngineChooser}, which uses it.
 */
class EngineSamplerTests {

	private static final EngineProfile PROFILE = new EngineProfile(64, 65_000, 50, 500);

	private static final RequestMemory REQUEST = new RequestMemory(5_200, 100);

	private static final int ENGINES = 27;

	// Number of requests that fit into the memory of an engine with a reserve for longer
	// responses.
	private static final int FITTING = 10;

	private static List<BackendState> engines() {
		List<BackendState> engines = new ArrayList<>();
		for (int number = 0; number < ENGINES; number++) {
			engines.add(BackendStates.of(new BackendNode("engine-" + number, 1, 1, "s",
					new InetSocketAddress("127.0.0.1", 1), "a", 64, false, BackendRole.DECODE)));
		}
		return engines;
	}

	private static PeerUsage fleet(int daemons) {
		PeerUsage peers = new PeerUsage();
		Set<String> names = new HashSet<>();
		for (int number = 1; number < daemons; number++) {
			names.add("vm-" + number);
		}
		peers.setRegisteredPeers(names, 0);
		return peers;
	}

	/**
	 * Guards against a sample that is so small in a small fleet that the best engine is
	 * missed.
	 */
	@Test
	void aSmallFleetComparesAllEngines() {
		assertThat(EngineSampler.sampleSize(10, 7)).isAtLeast(10);
		assertThat(EngineSampler.sampleSize(27, 71)).isEqualTo(4);
		assertThat(EngineSampler.sampleSize(1, 350)).isEqualTo(2);
	}

	/**
	 * Guards against an engine that is omitted or duplicated when the list is shuffled.
	 */
	@Test
	void theOrderContainsEachEngineOnce() {
		List<BackendState> engines = engines();
		assertThat(EngineSampler.shuffledLocalFirst(engines, "b", new SplittableRandom(3)))
			.containsExactlyElementsIn(engines);
	}

	/**
	 * Guards against calls to another data centre while local engines have free memory.
	 */
	@Test
	void enginesOfTheDataCentreComeFirst() {
		List<BackendState> engines = engines();
		BackendState near = BackendStates.of(new BackendNode("near", 1, 1, "s", new InetSocketAddress("127.0.0.1", 1),
				"b", 64, false, BackendRole.DECODE));
		engines.add(near);
		assertThat(EngineSampler.shuffledLocalFirst(engines, "b", new SplittableRandom(3)).get(0)).isEqualTo(near);
	}

	/**
	 * Guards against an engine that receives more requests than its memory holds because
	 * all daemons see it as the least loaded one. Twelve of 71 daemons each place a
	 * prompt before any report of the others arrives.
	 */
	@Test
	void aBurstOfUnreportedPlacementsIsSpread() {
		for (int seed = 0; seed < 20; seed++) {
			Map<String, Integer> placed = new HashMap<>();
			for (int daemon = 0; daemon < 12; daemon++) {
				PeerUsage peers = fleet(71);
				Map<String, List<RequestMemory>> memoryByEngine = new HashMap<>();
				for (int number = 1; number < ENGINES; number++) {
					memoryByEngine.put("engine-" + number, List.of(REQUEST, REQUEST));
				}
				peers.recordReport(
						new UsageReport("vm-1", 1, 1, Map.of(), memoryByEngine, Set.of(), CrashReport.NONE, 0), 0);
				DecodeEngineChooser chooser = new DecodeEngineChooser(peers, "a",
						new SplittableRandom(100L * seed + daemon));
				BackendState found = chooser.choose(engines(), PROFILE, REQUEST, 0);
				placed.merge(Objects.requireNonNull(found).node().id(), 1, Integer::sum);
			}
			int most = placed.values().stream().mapToInt(Integer::intValue).max().orElse(0);
			assertThat(most).isAtMost(FITTING);
		}
	}

	/**
	 * Guards against a refusal while an engine that was not drawn first has free memory.
	 */
	@Test
	void theOnlyEngineWithFreeMemoryIsChosen() {
		PeerUsage peers = fleet(71);
		Map<String, List<RequestMemory>> memoryByEngine = new HashMap<>();
		for (int number = 1; number < ENGINES; number++) {
			memoryByEngine.put("engine-" + number, java.util.Collections.nCopies(12, REQUEST));
		}
		peers.recordReport(new UsageReport("vm-1", 1, 1, Map.of(), memoryByEngine, Set.of(), CrashReport.NONE, 0), 0);
		DecodeEngineChooser chooser = new DecodeEngineChooser(peers, "a", new SplittableRandom(5));
		BackendState found = chooser.choose(engines(), PROFILE, REQUEST, 0);
		assertThat(Objects.requireNonNull(found).node().id()).isEqualTo("engine-0");
	}

}
