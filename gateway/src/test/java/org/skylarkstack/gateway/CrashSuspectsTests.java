package org.skylarkstack.gateway;

import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.skylarkstack.peers.PeerUsage;
import org.skylarkstack.peers.UsageReport;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link CrashSuspects}.
 */
class CrashSuspectsTests {

	private static final long SECOND = 1_000_000_000L;

	private final PeerUsage peers = new PeerUsage();

	private final CrashSuspects suspects = new CrashSuspects(this.peers);

	/**
	 * Guards against a request that crashes one server after the other because it is
	 * retried each time.
	 */
	@Test
	void aRequestIsRefusedAfterItsSecondCrash() {
		this.suspects.recordCrash(7, 0);
		assertThat(this.suspects.refuses(7, 0)).isFalse();
		this.suspects.recordCrash(7, SECOND);
		assertThat(this.suspects.refuses(7, SECOND)).isTrue();
		assertThat(this.suspects.refuses(8, SECOND)).isFalse();
	}

	/**
	 * Guards against a request that escapes refusal by going to another VM after a crash.
	 */
	@Test
	void crashesSeenByPeersCount() {
		this.suspects.recordCrash(7, 0);
		this.peers.recordReport(new UsageReport("peer", 1, 1, Map.of(), Map.of(), Set.of(), Map.of(7L, 1)), 0);
		assertThat(this.suspects.refuses(7, 0)).isTrue();
	}

	/**
	 * Guards against harmless requests that stay suspects because they were running when
	 * a server crashed.
	 */
	@Test
	void successAndExpiryClearARequest() {
		this.suspects.recordCrash(7, 0);
		this.suspects.clear(7);
		this.suspects.recordCrash(7, 0);
		assertThat(this.suspects.refuses(7, 0)).isFalse();
		this.suspects.recordCrash(7, 0);
		assertThat(this.suspects.refuses(7, 61 * SECOND)).isFalse();
	}

}
