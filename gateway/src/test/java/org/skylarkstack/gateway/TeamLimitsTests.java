package org.skylarkstack.gateway;

import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.skylarkstack.peers.CrashReport;
import org.skylarkstack.peers.PeerUsage;
import org.skylarkstack.peers.UsageReport;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link TeamLimits}.
 */
class TeamLimitsTests {

	private static final long MILLI = 1_000_000;

	private static final TeamPolicy TEAM = new TeamPolicy("team", Set.of("key"), null, true, 200, 1_000, 1_000);

	private final PeerUsage peers = new PeerUsage();

	private static GatewaySettings settings(boolean firstStart, double slack) {
		return new GatewaySettings("vm", "a", firstStart, 5_000, 0.2, 54, 10, 8, 0.1, slack, 8);
	}

	private TeamLimits limits(GatewaySettings settings) {
		return new TeamLimits(settings, this.peers, (name) -> TEAM, 0);
	}

	private void report(long number, long taken, long nowMillis) {
		this.peers.recordReport(
				new UsageReport("peer", 1, number, Map.of("team", taken), Map.of(), Set.of(), CrashReport.NONE, 0),
				nowMillis * MILLI);
	}

	/** Guards against two daemons that each grant the whole limit of a team. */
	@Test
	void unitsTakenByPeersAreNotGrantedAgain() {
		this.peers.setRegisteredPeers(Set.of("peer"), 0);
		TeamLimits limits = limits(settings(true, 0));
		report(1, 0, 0);
		assertThat(limits.tryTake(TEAM, 100, 0)).isEqualTo(0);
		report(2, 900, 10);
		assertThat(limits.tryTake(TEAM, 500, 10 * MILLI)).isGreaterThan(0L);
	}

	/**
	 * Guards against a team that is refused within its limit because all its requests go
	 * to one VM.
	 */
	@Test
	void oneDaemonMayGrantTheWholeLimit() {
		this.peers.setRegisteredPeers(Set.of("peer"), 0);
		TeamLimits limits = limits(settings(true, 0));
		report(1, 0, 0);
		assertThat(limits.tryTake(TEAM, 1_000, 0)).isEqualTo(0);
	}

	/**
	 * Guards against the parts of a partitioned fleet that together exceed the limit,
	 * because they do not receive each other's reports.
	 */
	@Test
	void unreachablePeersKeepTheirShare() {
		this.peers.setRegisteredPeers(Set.of("peer"), 0);
		TeamLimits limits = limits(settings(true, 0));
		long granted = 0;
		for (long now = 0; now < 8_000; now += 10) {
			granted += (limits.tryTake(TEAM, 10, now * MILLI) == 0) ? 10 : 0;
		}
		assertThat(granted).isAtMost((long) ((8 * 1_000 + 1_000) * 1.1 / 2));
	}

	/**
	 * Guards against a daemon that grants the full burst again after a restart, because
	 * it has no record of the units that it granted before.
	 */
	@Test
	void aRestartedDaemonStartsWithAnEmptyBucket() {
		TeamLimits limits = limits(settings(false, 0));
		assertThat(limits.tryTake(TEAM, 500, 0)).isGreaterThan(0L);
		assertThat(limits.tryTake(TEAM, 500, 600 * MILLI)).isEqualTo(0);
	}

	/**
	 * Guards against a daemon that grants the full burst when the first request of a team
	 * arrives, although the team has used it at other daemons.
	 */
	@Test
	void unitsTakenByPeersBeforeTheFirstRequestCount() {
		this.peers.setRegisteredPeers(Set.of("peer"), 0);
		TeamLimits limits = limits(settings(true, 0));
		report(1, 0, 0);
		report(2, 4_000, 2_900);
		report(3, 5_000, 3_000);
		assertThat(limits.tryTake(TEAM, 500, 3_000 * MILLI)).isGreaterThan(0L);
	}

	/**
	 * Guards against a team that is refused within its limit because a restarted daemon
	 * receives its first request long after the restart.
	 */
	@Test
	void theBucketOfARestartedDaemonFillsBeforeTheFirstRequest() {
		TeamLimits limits = limits(settings(false, 0));
		assertThat(limits.tryTake(TEAM, 900, 2_000 * MILLI)).isEqualTo(0);
	}

	/**
	 * Guards against a team that is refused because requests that never ran still count
	 * against its limit.
	 */
	@Test
	void unitsOfRequestsThatDidNotRunAreRefunded() {
		TeamLimits limits = limits(settings(true, 0));
		assertThat(limits.tryTake(TEAM, 1_000, 0)).isEqualTo(0);
		assertThat(limits.tryTake(TEAM, 1_000, 0)).isGreaterThan(0L);
		limits.refund(TEAM, 1_000);
		assertThat(limits.tryTake(TEAM, 1_000, 0)).isEqualTo(0);
	}

	/**
	 * Guards against requests to plain services that are refused because one long prompt
	 * has emptied the bucket.
	 */
	@Test
	void smallRequestsMayUseTheReserve() {
		TeamLimits limits = limits(settings(true, 100_000));
		assertThat(limits.tryTake(TEAM, 51_000, 0)).isEqualTo(0);
		assertThat(limits.tryTake(TEAM, 5_000, 0)).isGreaterThan(0L);
		assertThat(limits.tryTake(TEAM, 200, 0)).isEqualTo(0);
	}

}
