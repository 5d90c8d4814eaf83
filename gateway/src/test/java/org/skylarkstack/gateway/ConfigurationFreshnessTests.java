package org.skylarkstack.gateway;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link ConfigurationFreshness}.
 */
class ConfigurationFreshnessTests {

	private static final long MILLI = 1_000_000;

	private final ConfigurationFreshness freshness = new ConfigurationFreshness(4_500);

	/** Guards against serving keys before the configuration was ever read. */
	@Test
	void nothingIsFreshBeforeALook() {
		assertThat(this.freshness.fresh(0, 0)).isFalse();
	}

	/** Guards against counting from the answer of a look instead of from its sending. */
	@Test
	void ageCountsFromTheSendingOfTheLook() {
		this.freshness.looked(1_000 * MILLI, 51_000);
		assertThat(this.freshness.fresh(5_499 * MILLI, 55_499)).isTrue();
		assertThat(this.freshness.fresh(5_500 * MILLI, 55_500)).isFalse();
	}

	/** Guards against a withdrawn key that works on a VM that was suspended. */
	@Test
	void suspensionShowsOnTheWallClock() {
		this.freshness.looked(1_000 * MILLI, 51_000);
		assertThat(this.freshness.fresh(1_100 * MILLI, 57_000)).isFalse();
	}

	/** Guards against a wall clock set back that hides the age of the configuration. */
	@Test
	void wallClockSetBackHidesNothing() {
		this.freshness.looked(1_000 * MILLI, 51_000);
		assertThat(this.freshness.fresh(5_600 * MILLI, 20_000)).isFalse();
	}

	/** Guards against a late answer to an older look that replaces a newer one. */
	@Test
	void anOlderLookChangesNothing() {
		this.freshness.looked(3_000 * MILLI, 53_000);
		this.freshness.looked(1_000 * MILLI, 51_000);
		assertThat(this.freshness.ageMillis(4_000 * MILLI, 54_000)).isEqualTo(1_000);
	}

}
