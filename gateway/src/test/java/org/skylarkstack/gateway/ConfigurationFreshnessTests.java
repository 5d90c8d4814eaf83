package org.skylarkstack.gateway;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link ConfigurationFreshness}.
 */
class ConfigurationFreshnessTests {

	private static final long MILLI = 1_000_000;

	private final ConfigurationVersions versions = new ConfigurationVersions();

	private final ConfigurationFreshness freshness = new ConfigurationFreshness(4_500, this.versions);

	/** Guards against accepting keys before the configuration was ever read. */
	@Test
	void nothingIsFreshBeforeTheFirstRead() {
		assertThat(this.freshness.fresh(0, 0)).isFalse();
	}

	/**
	 * Guards against an age that counts from the reply to a read instead of from its
	 * sending, so that a withdrawn key works for too long.
	 */
	@Test
	void ageCountsFromTheSendingOfTheRead() {
		this.freshness.recordRead(1_000 * MILLI, 51_000);
		assertThat(this.freshness.fresh(5_499 * MILLI, 55_499)).isTrue();
		assertThat(this.freshness.fresh(5_500 * MILLI, 55_500)).isFalse();
	}

	/**
	 * Guards against a withdrawn key that works on a VM that was suspended, because the
	 * monotonic clock stopped meanwhile.
	 */
	@Test
	void aSuspendedVmIsStaleByTheWallClock() {
		this.freshness.recordRead(1_000 * MILLI, 51_000);
		assertThat(this.freshness.fresh(1_100 * MILLI, 57_000)).isFalse();
	}

	/**
	 * Guards against a wall clock set back that makes a stale configuration look fresh.
	 */
	@Test
	void aWallClockSetBackDoesNotHideTheAge() {
		this.freshness.recordRead(1_000 * MILLI, 51_000);
		assertThat(this.freshness.fresh(5_600 * MILLI, 20_000)).isFalse();
	}

	/** Guards against a late reply to an older read that replaces a newer one. */
	@Test
	void anOlderReadIsIgnored() {
		this.freshness.recordRead(3_000 * MILLI, 53_000);
		this.freshness.recordRead(1_000 * MILLI, 51_000);
		assertThat(this.freshness.ageMillis(4_000 * MILLI, 54_000)).isEqualTo(1_000);
	}

	/**
	 * Guards against accepting keys of a configuration that a restored store returned,
	 * although a peer knows a newer one.
	 */
	@Test
	void aRecentReadOfAnOutdatedVersionIsNotFresh() {
		this.versions.recordApplied(3);
		this.versions.recordStoreRestored(false, 0);
		this.freshness.recordRead(0, 0);
		assertThat(this.freshness.fresh(10 * MILLI, 10)).isTrue();
		this.versions.recordReported(4, 20 * MILLI);
		assertThat(this.freshness.fresh(30 * MILLI, 30)).isFalse();
		this.versions.recordApplied(4);
		assertThat(this.freshness.fresh(40 * MILLI, 40)).isTrue();
	}

}
