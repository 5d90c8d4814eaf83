package org.skylarkstack.gateway;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link DutyTakeover}.
 */
class DutyTakeoverTests {

	private static final long SECOND = 1_000_000_000L;

	private final DutyTakeover takeover = new DutyTakeover(20 * SECOND);

	/** Guards against a duty that nobody takes up. */
	@Test
	void anUnclaimedDutyAndAnOwnClaimAreFree() {
		assertThat(this.takeover.mayClaim(new DutyClaim("", 0), "b", 0)).isTrue();
		assertThat(this.takeover.mayClaim(new DutyClaim("b", 7), "b", 0)).isTrue();
	}

	/** Guards against two holders whose orders cross. */
	@Test
	void anothersClaimIsWatchedBeforeItIsTakenOver() {
		assertThat(this.takeover.mayClaim(new DutyClaim("a", 7), "b", 0)).isFalse();
		assertThat(this.takeover.mayClaim(new DutyClaim("a", 7), "b", 19 * SECOND)).isFalse();
		assertThat(this.takeover.mayClaim(new DutyClaim("a", 7), "b", 21 * SECOND)).isTrue();
	}

	/** Guards against a watch that does not start again when the other claims again. */
	@Test
	void aNewClaimOfTheOtherStartsTheWatchAgain() {
		assertThat(this.takeover.mayClaim(new DutyClaim("a", 7), "b", 0)).isFalse();
		assertThat(this.takeover.mayClaim(new DutyClaim("a", 9), "b", 19 * SECOND)).isFalse();
		assertThat(this.takeover.mayClaim(new DutyClaim("a", 9), "b", 21 * SECOND)).isFalse();
	}

}
