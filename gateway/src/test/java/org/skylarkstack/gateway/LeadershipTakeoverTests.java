package org.skylarkstack.gateway;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link LeadershipTakeover}.
 */
class LeadershipTakeoverTests {

	private static final long SECOND = 1_000_000_000L;

	private final LeadershipTakeover takeover = new LeadershipTakeover(20 * SECOND);

	/**
	 * Guards against a task that no daemon performs because a daemon waits although no
	 * other daemon holds a claim.
	 */
	@Test
	void leadershipWithoutClaimOrWithOwnClaimMayBeClaimed() {
		assertThat(this.takeover.mayClaim(new LeadershipClaim("", 0, 0, 0), "b", 0)).isTrue();
		assertThat(this.takeover.mayClaim(new LeadershipClaim("b", 7, 0, 0), "b", 0)).isTrue();
	}

	/**
	 * Guards against orders of two daemons that overlap because one daemon claims the
	 * task while an order of the other may still be carried out.
	 */
	@Test
	void theClaimOfAnotherDaemonIsTakenOverOnlyAfterTheWait() {
		assertThat(this.takeover.mayClaim(new LeadershipClaim("a", 7, 0, 0), "b", 0)).isFalse();
		assertThat(this.takeover.mayClaim(new LeadershipClaim("a", 7, 0, 0), "b", 19 * SECOND)).isFalse();
		assertThat(this.takeover.mayClaim(new LeadershipClaim("a", 7, 0, 0), "b", 21 * SECOND)).isTrue();
	}

	/**
	 * Guards against a takeover too soon after a new claim because the wait is still
	 * measured from the previous claim.
	 */
	@Test
	void aNewClaimOfTheOtherDaemonRestartsTheWait() {
		assertThat(this.takeover.mayClaim(new LeadershipClaim("a", 7, 0, 0), "b", 0)).isFalse();
		assertThat(this.takeover.mayClaim(new LeadershipClaim("a", 9, 0, 0), "b", 19 * SECOND)).isFalse();
		assertThat(this.takeover.mayClaim(new LeadershipClaim("a", 9, 0, 0), "b", 21 * SECOND)).isFalse();
	}

	/**
	 * Guards against an order while an order of a daemon whose claim the store has lost
	 * may still be carried out, even if the claim that is left is this daemon's own.
	 */
	@Test
	void afterTheStoreHasLostWritesNoClaimIsMadeBeforeTheWait() {
		long since = 30 * SECOND;
		assertThat(this.takeover.mayClaim(new LeadershipClaim("b", 7, 1, since), "b", 31 * SECOND)).isFalse();
		assertThat(this.takeover.mayClaim(new LeadershipClaim("", 0, 1, since), "b", 49 * SECOND)).isFalse();
		assertThat(this.takeover.mayClaim(new LeadershipClaim("b", 7, 1, since), "b", 51 * SECOND)).isTrue();
	}

}
