package org.skylarkstack.gateway;

import java.net.InetSocketAddress;
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
 * Tests of {@link DecodeEngineChooser} and {@link OutputLengthEstimator}.
 */
class DecodeEngineChooserTests {

	private static final EngineProfile PROFILE = new EngineProfile(64, 10_000, 50, 500);

	private static final RequestMemory REQUEST = new RequestMemory(2_000, 1_000);

	private final PeerUsage peers = new PeerUsage();

	private final DecodeEngineChooser chooser = new DecodeEngineChooser(this.peers, "a", new SplittableRandom(1));

	private final BackendState near = engine("near", "a");

	private final BackendState far = engine("far", "b");

	private static BackendState engine(String id, String dataCentre) {
		return BackendStates.of(new BackendNode(id, 1, 1, "s", new InetSocketAddress("127.0.0.1", 1), dataCentre, 64,
				false, BackendRole.DECODE));
	}

	private String choose(long now) {
		BackendState found = this.chooser.choose(List.of(this.near, this.far), PROFILE, REQUEST, now);
		return (found != null) ? found.node().id() : "none";
	}

	private void peersOccupy(String engine, int requests) {
		List<RequestMemory> memory = java.util.Collections.nCopies(requests, REQUEST);
		this.peers.recordReport(new UsageReport("peer", 1, System.nanoTime(), Map.of(), Map.of(engine, memory),
				Set.of(), CrashReport.NONE, 0), 0);
	}

	/**
	 * Guards against daemons that all choose the same engine because each of them counts
	 * only its own requests.
	 */
	@Test
	void memoryThatPeersOccupyCounts() {
		assertThat(choose(0)).isEqualTo("near");
		peersOccupy("near", 2);
		assertThat(choose(0)).isEqualTo("far");
	}

	/**
	 * Guards against prompts that are processed although no decode engine has memory for
	 * the response.
	 */
	@Test
	void aRequestThatFitsAtNoEngineWaits() {
		peersOccupy("near", 2);
		for (int request = 0; request < 2; request++) {
			this.far.reserve(new RequestMemoryTracker(2_000, 1_000, 2_000));
		}
		assertThat(choose(0)).isEqualTo("none");
	}

	/**
	 * Guards against a request that is never admitted because it alone exceeds the share
	 * of the memory that requests may occupy.
	 */
	@Test
	void anEmptyEngineTakesAnyRequest() {
		RequestMemory large = new RequestMemory(9_900, 50);
		assertThat(Objects.requireNonNull(this.chooser.choose(List.of(this.near), PROFILE, large, 0)).node().id())
			.isEqualTo("near");
	}

	/**
	 * Guards against sending a request to an engine right after it refused one for lack
	 * of memory.
	 */
	@Test
	void anEngineThatRefusedIsNotChosenDuringItsBackoff() {
		this.near.recordFullRefusal(0);
		assertThat(choose(1)).isEqualTo("far");
		assertThat(choose(400_000_000L)).isEqualTo("near");
	}

	/**
	 * Guards against reservations that follow a caller's estimate that is far from the
	 * usual length of the route's responses.
	 */
	@Test
	void estimatesAreCorrectedTowardsTheMeanLength() {
		OutputLengthEstimator lengths = new OutputLengthEstimator();
		lengths.update("route", 4_000, 4_000);
		RequestFacts facts = new RequestFacts("id", "host", null, -1, 5_000, 6_500, 1_000, null, List.of());
		assertThat(lengths.expectedTokens("route", facts)).isEqualTo(2_000);
	}

}
