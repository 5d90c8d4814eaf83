package org.skylarkstack.request;

import org.junit.jupiter.api.Test;
import org.skylarkstack.request.ShutdownSequence.Phase;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against shutdowns that abort requests too early or never finish.
 */
class ShutdownSequenceTests {

	private final ShutdownSequence sequence = new ShutdownSequence(30, 100, 20);

	@Test
	void requestsAreAcceptedUntilTheReleasePeriodEnds() {
		assertThat(this.sequence.poll(0, 500)).isEqualTo(Phase.SERVING);
		this.sequence.begin(1_000);
		assertThat(this.sequence.poll(0, 1_029)).isEqualTo(Phase.RELEASING);
		assertThat(this.sequence.phase().ready()).isFalse();
		assertThat(this.sequence.poll(0, 1_030)).isEqualTo(Phase.STOPPED);
	}

	@Test
	void openRequestsFinishWithinTheBoundAndThenEnd() {
		this.sequence.begin(1_000);
		assertThat(this.sequence.poll(2, 1_129)).isEqualTo(Phase.DRAINING);
		assertThat(this.sequence.poll(2, 1_130)).isEqualTo(Phase.ENDING);
		assertThat(this.sequence.poll(1, 1_149)).isEqualTo(Phase.ENDING);
		assertThat(this.sequence.poll(1, 1_150)).isEqualTo(Phase.STOPPED);
	}

	@Test
	void secondBeginDoesNotExtendTheBounds() {
		this.sequence.begin(1_000);
		this.sequence.begin(1_120);
		assertThat(this.sequence.poll(1, 1_130)).isEqualTo(Phase.ENDING);
	}

}
