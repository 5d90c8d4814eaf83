package org.skylarkstack.gateway;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link DrainWindow}. Times are in milliseconds after the start of the daemon.
 */
class DrainWindowTests {

	private static final long MILLI = 1_000_000;

	private final DrainWindow window = new DrainWindow();

	private boolean permits(long requiredMillis, long nowMillis) {
		return this.window.permits(requiredMillis, nowMillis * MILLI);
	}

	/** Guards against requests that are refused although the daemon is not stopping. */
	@Test
	void everyRequestIsPermittedBeforeAStop() {
		assertThat(permits(60_000, 0)).isTrue();
		assertThat(this.window.hasEnded(Long.MAX_VALUE / 2)).isFalse();
	}

	/**
	 * Guards against streams that begin late in a stop and are cut off at its end, and
	 * against a VM that refuses short requests from the beginning of its stop.
	 */
	@Test
	void aRequestIsPermittedWhileItFitsIntoTheTimeLeft() {
		this.window.begin(1_000 * MILLI, 7_000 * MILLI);
		assertThat(permits(4_000, 1_000)).isTrue();
		assertThat(permits(4_000, 4_000)).isTrue();
		assertThat(permits(4_000, 4_001)).isFalse();
		assertThat(permits(100, 7_900)).isTrue();
		assertThat(permits(100, 7_901)).isFalse();
	}

	/**
	 * Guards against requests that begin by an estimate after the load balancer has
	 * removed the daemon, and against a VM that takes no more requests at its signal.
	 */
	@Test
	void requestsThatArriveAfterTheReleaseRequireCertainty() {
		assertThat(this.window.requiresCertainty(Long.MAX_VALUE / 2)).isFalse();
		this.window.begin(1_000 * MILLI, 7_000 * MILLI);
		assertThat(this.window.requiresCertainty(900 * MILLI)).isFalse();
		assertThat(this.window.requiresCertainty(2_900 * MILLI)).isFalse();
		assertThat(this.window.requiresCertainty(4_000 * MILLI)).isTrue();
	}

	/** Guards against a second signal that extends the time beyond the kill. */
	@Test
	void aSecondBeginDoesNotMoveTheEnd() {
		this.window.begin(1_000 * MILLI, 7_000 * MILLI);
		this.window.begin(3_000 * MILLI, 7_000 * MILLI);
		assertThat(this.window.hasEnded(7_999 * MILLI)).isFalse();
		assertThat(this.window.hasEnded(8_000 * MILLI)).isTrue();
	}

}
