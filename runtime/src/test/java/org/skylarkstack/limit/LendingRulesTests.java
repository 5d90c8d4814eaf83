package org.skylarkstack.limit;

import java.util.BitSet;

import org.junit.jupiter.api.Test;
import org.skylarkstack.configuration.Team;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests each rule of token lending on its own. The simulated schedules of the bench
 * module test the rules together.
 */
class LendingRulesTests {

	private static final long SECOND = 1_000_000_000L;

	private static final LendingTerms TERMS = LendingTerms.forPeriod(SECOND);

	private static final Team TEAM = new Team("team", 700, 7_000, 1, null);

	private final SliceLender lender = new SliceLender(TERMS);

	private final ShardPool pool = new ShardPool(TERMS, 7);

	private static BitSet shard(int shard) {
		BitSet shards = new BitSet();
		shards.set(shard);
		return shards;
	}

	/**
	 * Guards against a slice that is lent to another VM, or to another incarnation of the
	 * borrower, while the first loan may still run on a slower clock.
	 */
	@Test
	void sliceIsLentToOneIncarnationAtATime() {
		assertThat(this.lender.lend(shard(3), "a", 1, 5 * SECOND, 0)).isEqualTo(shard(3));
		assertThat(this.lender.lend(shard(3), "b", 1, 5 * SECOND, SECOND).isEmpty()).isTrue();
		assertThat(this.lender.lend(shard(3), "a", 2, 5 * SECOND, SECOND).isEmpty()).isTrue();
		assertThat(this.lender.isLoanOver(3, 5 * SECOND)).isFalse();
		assertThat(this.lender.isLoanOver(3, 5 * SECOND + SECOND / 20)).isTrue();
		assertThat(this.lender.lend(shard(3), "b", 1, 5 * SECOND, 6 * SECOND)).isEqualTo(shard(3));
	}

	/**
	 * Guards against a slice that is lent while grants that it backed in the own pool may
	 * still be spent.
	 */
	@Test
	void sliceIsNotLentWhileItsGrantsAreOutstanding() {
		this.lender.addToOwnPool(3, 100 * SECOND);
		assertThat(this.lender.lend(shard(3), "a", 1, 5 * SECOND, 0).isEmpty()).isTrue();
		this.lender.removeFromOwnPool(3, true, 0);
		assertThat(this.lender.lend(shard(3), "a", 1, 5 * SECOND, 2 * SECOND).isEmpty()).isTrue();
		assertThat(this.lender.lend(shard(3), "a", 1, 5 * SECOND, 2 * SECOND + SECOND / 50)).isEqualTo(shard(3));
	}

	/** Guards against a slice that brings tokens when it arrives in a pool. */
	@Test
	void newSliceAddsNoTokens() {
		this.pool.addSlice("a", 1, 100 * SECOND, 0);
		assertThat(this.pool.level(TEAM, 0)).isEqualTo(0.0);
		assertThat(this.pool.level(TEAM, 5 * SECOND)).isWithin(0.001).of(500);
		this.pool.addSlice("b", 1, 100 * SECOND, 5 * SECOND);
		assertThat(this.pool.level(TEAM, 5 * SECOND)).isWithin(0.001).of(500);
		assertThat(this.pool.level(TEAM, 6 * SECOND)).isWithin(0.001).of(700);
	}

	/** Guards against grants that end after the loan that backed them. */
	@Test
	void sliceIsCutOffOneGrantTermBeforeItsLoanEnds() {
		this.pool.addSlice("a", 1, 10 * SECOND, 0);
		assertThat(this.pool.grant(TEAM, "vm", 1, 100, 0, 7 * SECOND)).isEqualTo(100);
		assertThat(this.pool.grant(TEAM, "vm", 2, 100, 0, 8 * SECOND)).isEqualTo(0);
		assertThat(this.pool.hasSlices(8 * SECOND)).isFalse();
	}

	/**
	 * Guards against a pool that refills to its full burst while grants are outstanding,
	 * so that the team could spend more than its burst.
	 */
	@Test
	void outstandingGrantsCountAgainstTheBurst() {
		this.pool.addSlice("a", 1, 1_000 * SECOND, 0);
		assertThat(this.pool.grant(TEAM, "vm", 1, 1_000, 0, 100 * SECOND)).isEqualTo(1_000);
		assertThat(this.pool.level(TEAM, 101 * SECOND)).isWithin(0.001).of(0);
		assertThat(this.pool.level(TEAM, 103 * SECOND)).isWithin(0.001).of(98);
	}

	/**
	 * Guards against a second burst for a team that is deleted and created again before
	 * its ledger is full.
	 */
	@Test
	void deletedTeamKeepsItsLedgerUntilItIsFull() {
		this.pool.addSlice("a", 1, 1_000 * SECOND, 0);
		assertThat(this.pool.take(TEAM, 1_000, 100 * SECOND)).isTrue();
		this.pool.applyLimitsAndEvict((id) -> null, 101 * SECOND);
		assertThat(this.pool.level(TEAM, 101 * SECOND)).isWithin(0.001).of(100);
		this.pool.applyLimitsAndEvict((id) -> null, 200 * SECOND);
		assertThat(this.pool.ledgerCount()).isEqualTo(0);
		assertThat(this.pool.level(TEAM, 200 * SECOND)).isWithin(0.001).of(1_000);
	}

	/** Guards against tokens that appear when a team's limits are raised. */
	@Test
	void raisingLimitsAddsNoTokens() {
		this.pool.addSlice("a", 1, 1_000 * SECOND, 0);
		assertThat(this.pool.take(TEAM, 1_000, 100 * SECOND)).isTrue();
		Team raised = new Team("team", 1_400, 14_000, 1, null);
		assertThat(this.pool.level(raised, 101 * SECOND)).isWithin(0.001).of(100);
		assertThat(this.pool.level(raised, 102 * SECOND)).isWithin(0.001).of(300);
		Team lowered = new Team("team", 7, 70, 1, null);
		assertThat(this.pool.level(lowered, 102 * SECOND)).isWithin(0.001).of(10);
	}

	/**
	 * Guards against a borrower that spends a grant after its term, or that reports a
	 * balance twice.
	 */
	@Test
	void borrowerDropsExpiredGrants() {
		BorrowedGrants grants = new BorrowedGrants(0);
		grants.add("owner", 1, 50, 2 * SECOND, 0);
		grants.add("owner", 2, 50, 3 * SECOND, 0);
		assertThat(grants.available(2 * SECOND - 1)).isEqualTo(100);
		assertThat(grants.available(2 * SECOND)).isEqualTo(50);
		grants.take(20);
		assertThat(grants.takeChangedBalances("owner")).containsExactly(new GrantBalance(2, 30));
		assertThat(grants.takeChangedBalances("owner")).isEmpty();
	}

	/** Guards against tokens that are lost because their grant expires unspent. */
	@Test
	void borrowerReturnsSurplusTokens() {
		BorrowedGrants grants = new BorrowedGrants(0);
		grants.recordDemand(40, 0);
		grants.add("owner", 1, 100, 2 * SECOND, 0);
		assertThat(grants.removeSurplus("owner", SECOND, SECOND - 1)).isEqualTo(0);
		long surplus = grants.removeSurplus("owner", SECOND, SECOND);
		assertThat(surplus).isEqualTo(100 - (long) Math.ceil(40 / Math.E));
		assertThat(grants.removeSurplus("owner", SECOND, 2 * SECOND - SECOND / 5)).isEqualTo(100 - surplus);
		assertThat(grants.takeChangedBalances("owner")).containsExactly(new GrantBalance(1, 0));
	}

	/**
	 * Guards against a pool that fills up while a refund is in transit and then accepts
	 * the refund as well, so that together they exceed the burst.
	 */
	@Test
	void delayedRefundCountsOnlyUpToTheLeastHeadroom() {
		this.pool.addSlice("a", 1, 1_000 * SECOND, 0);
		assertThat(this.pool.take(TEAM, 300, 100 * SECOND)).isTrue();
		assertThat(this.pool.level(TEAM, 101 * SECOND)).isWithin(0.001).of(800);
		assertThat(this.pool.take(TEAM, 700, 101 * SECOND)).isTrue();
		this.pool.putBackDelayed(TEAM, 500, 100 * SECOND, 101 * SECOND);
		assertThat(this.pool.level(TEAM, 101 * SECOND)).isWithin(0.001).of(100);
		this.pool.putBackDelayed(TEAM, 500, 100 * SECOND + 1, 101 * SECOND);
		assertThat(this.pool.level(TEAM, 101 * SECOND)).isWithin(0.001).of(300);
	}

}
