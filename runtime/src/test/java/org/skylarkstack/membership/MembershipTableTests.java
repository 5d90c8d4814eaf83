package org.skylarkstack.membership;

import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards the rules by which peers become live, suspect or dead.
 */
class MembershipTableTests {

	private static final long SECOND = 1_000_000_000L;

	private static final long SELF = 1;

	private final MembershipTable table = new MembershipTable(new Member("vm-0", SELF, "dc-0", false), List.of("vm-1"),
			MembershipTiming.DEFAULT);

	private static Heartbeat heartbeatFrom(long incarnation, long echoNanos) {
		return new Heartbeat("dc-1", incarnation, 7 * SECOND, (echoNanos == 0) ? 0 : SELF, echoNanos, 5, false, null);
	}

	/**
	 * Guards against a member that is no longer live within three heartbeat periods, or
	 * still live after them.
	 */
	@Test
	void memberIsLiveForThreePeriods() {
		this.table.recordHeartbeat("vm-1", heartbeatFrom(10, 0), 0);
		this.table.advance(3 * SECOND);
		assertThat(this.table.view().isLive("vm-1")).isTrue();
		this.table.advance(3 * SECOND + 1);
		assertThat(this.table.view().isLive("vm-1")).isFalse();
	}

	/**
	 * Guards against removing a disconnected VM that the platform still lists, also when
	 * it is missing from a list read before it became suspect.
	 */
	@Test
	void onlySuspectsThatTheListDroppedAreRemoved() {
		this.table.recordHeartbeat("vm-1", heartbeatFrom(10, 0), 0);
		this.table.applyPlatformList(List.of("vm-1"), SECOND);
		this.table.advance(10 * SECOND);
		this.table.applyPlatformList(List.of("vm-1"), 11 * SECOND);
		assertThat(this.table.isDead("vm-1", 10, 11 * SECOND)).isFalse();
		this.table.applyPlatformList(List.of(), 9 * SECOND);
		assertThat(this.table.isDead("vm-1", 10, 11 * SECOND)).isFalse();
		this.table.applyPlatformList(List.of(), 12 * SECOND);
		assertThat(this.table.isDead("vm-1", 10, 12 * SECOND)).isTrue();
	}

	/** Guards against removing a new VM because it is not in the lagging list yet. */
	@Test
	void memberThatWasNeverListedIsNotRemovedByTheList() {
		this.table.recordHeartbeat("vm-1", heartbeatFrom(10, 0), 0);
		this.table.advance(10 * SECOND);
		this.table.applyPlatformList(List.of(), 12 * SECOND);
		assertThat(this.table.isDead("vm-1", 10, 12 * SECOND)).isFalse();
		this.table.advance(MembershipTiming.DEFAULT.unlistedNanos() + 1);
		assertThat(this.table.isDead("vm-1", 10, 700 * SECOND)).isTrue();
	}

	/**
	 * Guards against engine memory that stays reserved for a dead VM for ten minutes.
	 * This occurred when the list was read before the VM's first heartbeat and not again
	 * before the VM ended.
	 */
	@Test
	void memberListedBeforeItsFirstHeartbeatCountsAsListed() {
		this.table.applyPlatformList(List.of("vm-1"), 0);
		this.table.recordHeartbeat("vm-1", heartbeatFrom(10, 0), SECOND);
		this.table.advance(10 * SECOND);
		this.table.applyPlatformList(List.of(), 12 * SECOND);
		assertThat(this.table.isDead("vm-1", 10, 12 * SECOND)).isTrue();
	}

	/** Guards against a late heartbeat that makes a replaced incarnation live again. */
	@Test
	void replacedIncarnationStaysDead() {
		this.table.recordHeartbeat("vm-1", heartbeatFrom(10, 0), 0);
		this.table.recordHeartbeat("vm-1", heartbeatFrom(11, 0), SECOND);
		assertThat(this.table.recordHeartbeat("vm-1", heartbeatFrom(10, 0), SECOND)).isFalse();
		assertThat(this.table.isDead("vm-1", 10, SECOND)).isTrue();
		assertThat(this.table.peer("vm-1").orElseThrow().member().incarnation()).isEqualTo(11);
	}

	/**
	 * Guards against treating the new incarnation of a restarted VM as dead before its
	 * first heartbeat has arrived, and against never treating an incarnation as dead that
	 * ended before this daemon started.
	 */
	@Test
	void unknownIncarnationIsDeadOnlyAfterALaterEcho() {
		this.table.recordHeartbeat("vm-1", heartbeatFrom(10, 2 * SECOND), 2 * SECOND);
		assertThat(this.table.isDead("vm-1", 99, 3 * SECOND)).isFalse();
		this.table.recordHeartbeat("vm-1", heartbeatFrom(10, 3 * SECOND), 4 * SECOND);
		assertThat(this.table.isDead("vm-1", 99, 5 * SECOND)).isFalse();
		this.table.recordHeartbeat("vm-1", heartbeatFrom(10, 4 * SECOND), 5 * SECOND);
		assertThat(this.table.isDead("vm-1", 99, 5 * SECOND)).isTrue();
	}

	/** Guards against heartbeat traffic per daemon that grows with the fleet. */
	@Test
	void periodGrowsWithTheFleet() {
		assertThat(MembershipTiming.DEFAULT.periodNanos(7)).isEqualTo(SECOND);
		assertThat((double) MembershipTiming.DEFAULT.periodNanos(350)).isWithin(1e7).of(6.0 * SECOND);
	}

	/** Guards against new work for members that are leaving. */
	@Test
	void leavingMemberOwnsNothing() {
		this.table.recordHeartbeat("vm-1", new Heartbeat("dc-1", 10, 0, 0, 0, 5, true, null), 0);
		for (int key = 0; key < 20; key++) {
			assertThat(this.table.view().softOwner("key-" + key)).isEqualTo("vm-0");
		}
	}

}
