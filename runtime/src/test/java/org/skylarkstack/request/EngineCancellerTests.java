package org.skylarkstack.request;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against engine memory that stays held because a cancel was lost or ignored.
 */
class EngineCancellerTests {

	private final RequestFixture fixture = new RequestFixture();

	@AfterEach
	void close() {
		this.fixture.canceller.close();
	}

	private void cancel() {
		this.fixture.canceller.cancel("d1", "vm-0.1.1.1");
		this.fixture.canceller.cancelPending("d1");
	}

	@Test
	void ignoredCancelIsRepeatedUntilTheEngineFreesTheRequest() {
		this.fixture.engines.holds.add("d1 vm-0.1.1.1");
		this.fixture.engines.ignoresCancel = true;
		cancel();
		assertThat(this.fixture.canceller.unconfirmed()).isEqualTo(1);
		this.fixture.engines.ignoresCancel = false;
		this.fixture.canceller.cancelPending("d1");
		assertThat(this.fixture.canceller.unconfirmed()).isEqualTo(0);
		assertThat(this.fixture.engines.holds).isEmpty();
	}

	@Test
	void unresponsiveEngineIsTriedForABoundedTime() {
		this.fixture.engines.dead.add("d1");
		cancel();
		assertThat(this.fixture.canceller.unconfirmed()).isEqualTo(1);
		this.fixture.time.advanceMillis(30_000);
		this.fixture.canceller.cancelPending("d1");
		assertThat(this.fixture.canceller.unconfirmed()).isEqualTo(0);
		assertThat(this.fixture.canceller.abandonedCount()).isEqualTo(1);
	}

	@Test
	void queueIsBounded() {
		PendingCancels pending = new PendingCancels(2, 1_000);
		assertThat(pending.add("d1", "a", 0)).isTrue();
		assertThat(pending.add("d1", "b", 0)).isTrue();
		assertThat(pending.add("d2", "c", 0)).isFalse();
		assertThat(pending.abandonedCount()).isEqualTo(1);
	}

}
