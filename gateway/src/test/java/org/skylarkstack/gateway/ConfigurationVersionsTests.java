package org.skylarkstack.gateway;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link ConfigurationVersions}.
 */
class ConfigurationVersionsTests {

	private static final long MILLI = 1_000_000;

	private final ConfigurationVersions versions = new ConfigurationVersions();

	/**
	 * Guards against refusals at every change of the configuration, which some VMs read
	 * before others, while the store has lost nothing.
	 */
	@Test
	void withoutARestoreTheStoreIsNewerThanPeers() {
		this.versions.recordApplied(3);
		assertThat(this.versions.recordReported(4, 0)).isFalse();
		assertThat(this.versions.mayBeOutdated(0)).isFalse();
		assertThat(this.versions.newest()).isEqualTo(4);
	}

	/**
	 * Guards against a VM that serves an outdated configuration until its next poll ends,
	 * or that reads the store at every report.
	 */
	@Test
	void theStoreIsReadOnceForANewerVersion() {
		this.versions.recordStoreRestored(false, 0);
		this.versions.recordApplied(3);
		assertThat(this.versions.recordReported(3, 0)).isFalse();
		assertThat(this.versions.recordReported(4, 0)).isTrue();
		assertThat(this.versions.recordReported(4, 100 * MILLI)).isFalse();
		assertThat(this.versions.recordReported(5, 200 * MILLI)).isFalse();
		assertThat(this.versions.recordReported(6, 1_500 * MILLI)).isTrue();
		assertThat(this.versions.mayBeOutdated(1_500 * MILLI)).isTrue();
	}

	/**
	 * Guards against a VM that one corrupt report, or a peer that is gone, blocks for
	 * good.
	 */
	@Test
	void aVersionThatNoPeerReportsAnyLongerIsDisregarded() {
		this.versions.recordStoreRestored(false, 0);
		this.versions.recordApplied(3);
		this.versions.recordReported(Long.MAX_VALUE, 0);
		this.versions.recordReported(3, 9_000 * MILLI);
		assertThat(this.versions.mayBeOutdated(9_000 * MILLI)).isTrue();
		assertThat(this.versions.mayBeOutdated(10_001 * MILLI)).isFalse();
		this.versions.recordReported(4, 10_500 * MILLI);
		assertThat(this.versions.mayBeOutdated(10_500 * MILLI)).isTrue();
	}

	/** Guards against a start that waits for long because no peer answers. */
	@Test
	void aStartWaitsForPeersForAShortTimeOnly() {
		this.versions.recordStoreRestored(true, 0);
		this.versions.recordPeersListed(0);
		this.versions.recordApplied(3);
		assertThat(this.versions.mayBeOutdated(500 * MILLI)).isTrue();
		assertThat(this.versions.mayBeOutdated(700 * MILLI)).isFalse();
		this.versions.recordStoreRestored(true, 1_000 * MILLI);
		this.versions.recordAllPeersReported();
		assertThat(this.versions.mayBeOutdated(1_100 * MILLI)).isFalse();
	}

	/**
	 * Guards against a start that trusts an older copy of the store because the list of
	 * its peers came late.
	 */
	@Test
	void thePeersTimeBeginsWhenTheyAreKnown() {
		this.versions.recordStoreRestored(true, 0);
		this.versions.recordApplied(3);
		assertThat(this.versions.mayBeOutdated(2_000 * MILLI)).isTrue();
		this.versions.recordPeersListed(2_000 * MILLI);
		assertThat(this.versions.mayBeOutdated(2_500 * MILLI)).isTrue();
		assertThat(this.versions.mayBeOutdated(2_700 * MILLI)).isFalse();
	}

	/** Guards against a start that waits for good because the list cannot be read. */
	@Test
	void theWaitForTheListOfPeersIsBounded() {
		this.versions.recordStoreRestored(true, 0);
		this.versions.recordApplied(3);
		assertThat(this.versions.mayBeOutdated(2_900 * MILLI)).isTrue();
		assertThat(this.versions.mayBeOutdated(3_000 * MILLI)).isFalse();
	}

}
