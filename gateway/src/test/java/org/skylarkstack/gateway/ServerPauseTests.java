package org.skylarkstack.gateway;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link ServerPause} under more requests than the server takes.
 */
class ServerPauseTests {

	private static final long SECOND = 1_000_000_000L;

	private final ServerPause pause = new ServerPause();

	private int send(int requests, long nowNanos) {
		int sent = 0;
		for (int request = 0; request < requests; request++) {
			if (this.pause.waitNanos(nowNanos) == 0) {
				this.pause.recordRequest(nowNanos);
				sent++;
			}
		}
		return sent;
	}

	/** Guards against requests during a pause, and against all of them at its end. */
	@Test
	void requestsReturnStepByStepAfterAPause() {
		this.pause.begin(3 * SECOND, SECOND);
		assertThat(send(40, 2 * SECOND)).isEqualTo(0);
		this.pause.recordResponse(2 * SECOND);
		assertThat(this.pause.waitNanos(3 * SECOND)).isEqualTo(SECOND);
		assertThat(send(40, 4 * SECOND)).isEqualTo(1);
		this.pause.recordResponse(4 * SECOND + 1);
		assertThat(send(40, 4 * SECOND + 2)).isEqualTo(2);
		for (int response = 0; response < 7; response++) {
			this.pause.recordResponse(4 * SECOND + 3);
		}
		assertThat(send(40, 4 * SECOND + 4)).isEqualTo(40);
	}

	/** Guards against a shorter pause that ends a longer one. */
	@Test
	void theLaterEndHolds() {
		this.pause.begin(3 * SECOND, SECOND);
		this.pause.begin(SECOND / 5, SECOND);
		assertThat(this.pause.waitNanos(2 * SECOND)).isEqualTo(2 * SECOND);
	}

	/** Guards against a server without requests because a response was lost. */
	@Test
	void aLostResponseIsNotWaitedForLong() {
		this.pause.begin(SECOND, SECOND);
		assertThat(send(2, 2 * SECOND)).isEqualTo(1);
		assertThat(send(2, 3 * SECOND)).isAtLeast(1);
	}

}
