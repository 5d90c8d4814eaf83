package org.skylarkstack.configuration;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a daemon that starts with withdrawn keys because the store was restored
 * from an older copy, and against one that never starts.
 */
class StartBarrierTests {

	private static final long PERIOD = 1_000_000_000L;

	/** Guards against a wait where nobody can know more than the store. */
	@Test
	void daemonWithoutPeersDoesNotWait() {
		assertThat(new StartBarrier(0, PERIOD, 0).permits(3, 0)).isTrue();
	}

	/** Guards against an old state that comes into force before a peer has reported. */
	@Test
	void daemonWaitsForHalfOfItsPeers() {
		StartBarrier barrier = new StartBarrier(3, PERIOD, 0);
		barrier.report("a", 3);
		barrier.report("a", 3);
		assertThat(barrier.permits(3, 2 * PERIOD)).isFalse();
		barrier.report("b", 2);
		assertThat(barrier.permits(3, 2 * PERIOD)).isTrue();
	}

	/**
	 * Guards against a daemon that stays without configuration when its peers are down.
	 */
	@Test
	void daemonStartsWithoutReports() {
		StartBarrier barrier = new StartBarrier(6, PERIOD, 0);
		assertThat(barrier.permits(3, 3 * PERIOD - 1)).isFalse();
		assertThat(barrier.permits(3, 3 * PERIOD)).isTrue();
	}

	/** Guards against a state that is known to be older than that of a peer. */
	@Test
	void daemonWaitsForTicketsThatAPeerHas() {
		StartBarrier barrier = new StartBarrier(1, PERIOD, 0);
		barrier.report("a", 5);
		assertThat(barrier.permits(3, 9 * PERIOD)).isFalse();
		assertThat(barrier.permits(5, 0)).isTrue();
		assertThat(barrier.permits(3, 10 * PERIOD)).isTrue();
	}

}
