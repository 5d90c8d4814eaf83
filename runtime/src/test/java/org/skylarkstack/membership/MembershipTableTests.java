package org.skylarkstack.membership;

import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards the rules by which peers become live, suspect and dead.
 */
class MembershipTableTests {

	private static final long SECOND = 1_000_000_000L;

	private static final long SELF = 1;

	private final MembershipTable table = new MembershipTable(new Member("vm-0", SELF, "dc-0", false), List.of("vm-1"),
			MembershipTerms.DEFAULT);

	private static Heartbeat heartbeatFrom(long incarnation, long echoNanos) {
		return new Heartbeat("dc-1", incarnation, 7 * SECOND, (echoNanos == 0) ? 0 : SELF, echoNanos, 5, false, null);
	}

	/**
	 * Guards against dropping a member before three periods, or keeping it for longer.
	 */
	@Test
	void memberIsLiveForThreePeriods() {
		this.table.heartbeat("vm-1", heartbeatFrom(10, 0), 0);
		this.table.advance(3 * SECOND);
		assertThat(this.table.view().isLive("vm-1")).isTrue();
		this.table.advance(3 * SECOND + 1);
		assertThat(this.table.view().isLive("vm-1")).isFalse();
	}

	/** Guards against removing a cut-off VM that the platform still lists. */
	@Test
	void onlySuspectsThatTheListDroppedAreRemoved() {
		this.table.heartbeat("vm-1", heartbeatFrom(10, 0), 0);
		this.table.platformList(List.of("vm-1"), SECOND);
		this.table.advance(10 * SECOND);
		this.table.platformList(List.of("vm-1"), 11 * SECOND);
		assertThat(this.table.isDead("vm-1", 10, 11 * SECOND)).isFalse();
		this.table.platformList(List.of(), 9 * SECOND);
		assertThat(this.table.isDead("vm-1", 10, 11 * SECOND)).isFalse();
		this.table.platformList(List.of(), 12 * SECOND);
		assertThat(this.table.isDead("vm-1", 10, 12 * SECOND)).isTrue();
	}

	/** Guards against removing a new VM because the list lags. */
	@Test
	void memberThatWasNeverListedIsNotRemovedByTheList() {
		this.table.heartbeat("vm-1", heartbeatFrom(10, 0), 0);
		this.table.advance(10 * SECOND);
		this.table.platformList(List.of(), 12 * SECOND);
		assertThat(this.table.isDead("vm-1", 10, 12 * SECOND)).isFalse();
		this.table.advance(MembershipTerms.DEFAULT.unlistedNanos() + 1);
		assertThat(this.table.isDead("vm-1", 10, 700 * SECOND)).isTrue();
	}

	/**
	 * Guards against memory of a dead VM that stays held for ten minutes because the list
	 * was read before the VM's first heartbeat and not again before its end.
	 */
	@Test
	void memberListedBeforeItsFirstHeartbeatCountsAsListed() {
		this.table.platformList(List.of("vm-1"), 0);
		this.table.heartbeat("vm-1", heartbeatFrom(10, 0), SECOND);
		this.table.advance(10 * SECOND);
		this.table.platformList(List.of(), 12 * SECOND);
		assertThat(this.table.isDead("vm-1", 10, 12 * SECOND)).isTrue();
	}

	/** Guards against a late heartbeat that brings a replaced incarnation back. */
	@Test
	void replacedIncarnationStaysDead() {
		this.table.heartbeat("vm-1", heartbeatFrom(10, 0), 0);
		this.table.heartbeat("vm-1", heartbeatFrom(11, 0), SECOND);
		assertThat(this.table.heartbeat("vm-1", heartbeatFrom(10, 0), SECOND)).isFalse();
		assertThat(this.table.isDead("vm-1", 10, SECOND)).isTrue();
		assertThat(this.table.peer("vm-1").orElseThrow().member().incarnation()).isEqualTo(11);
	}

	/**
	 * Guards against taking the new incarnation of a restarted VM for dead before its
	 * first heartbeat arrived, and against never burying one from before this start.
	 */
	@Test
	void unknownIncarnationIsDeadOnlyAfterALaterEcho() {
		this.table.heartbeat("vm-1", heartbeatFrom(10, 2 * SECOND), 2 * SECOND);
		assertThat(this.table.isDead("vm-1", 99, 3 * SECOND)).isFalse();
		this.table.heartbeat("vm-1", heartbeatFrom(10, 3 * SECOND), 4 * SECOND);
		assertThat(this.table.isDead("vm-1", 99, 5 * SECOND)).isFalse();
		this.table.heartbeat("vm-1", heartbeatFrom(10, 4 * SECOND), 5 * SECOND);
		assertThat(this.table.isDead("vm-1", 99, 5 * SECOND)).isTrue();
	}

	/** Guards against bytes a second that grow with the fleet. */
	@Test
	void periodGrowsWithTheFleet() {
		assertThat(MembershipTerms.DEFAULT.periodNanos(7)).isEqualTo(SECOND);
		assertThat((double) MembershipTerms.DEFAULT.periodNanos(350)).isWithin(1e7).of(6.0 * SECOND);
	}

	/** Guards against leaving members that are given new work. */
	@Test
	void leavingMemberOwnsNothing() {
		this.table.heartbeat("vm-1", new Heartbeat("dc-1", 10, 0, 0, 0, 5, true, null), 0);
		for (int key = 0; key < 20; key++) {
			assertThat(this.table.view().softOwner("key-" + key)).isEqualTo("vm-0");
		}
	}

}
