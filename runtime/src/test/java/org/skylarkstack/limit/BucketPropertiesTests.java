package org.skylarkstack.limit;

import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.skylarkstack.configuration.Team;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against bucket and pool operations that create tokens beyond rate and burst, and
 * against shard sets that change when they are encoded. jqwik prints the seed of a
 * failure.
 */
class BucketPropertiesTests {

	private static final long SECOND = 1_000_000_000L;

	private static final double ROUNDING_TOLERANCE_TOKENS = 0.001;

	/** Guards against a bucket that gives out more than rate x time + burst. */
	@Property(seed = "20261204")
	void bucketObeysRateAndBurst(@ForAll @LongRange(min = 1, max = 10_000) long rate,
			@ForAll @LongRange(min = 1, max = 50_000) long burst, @ForAll long seed) {
		Random random = new Random(seed);
		TokenBucket bucket = new TokenBucket(rate, burst, random.nextInt((int) burst + 1), 0);
		long now = 0;
		double excess = 0;
		for (int step = 0; step < 200; step++) {
			long gap = random.nextLong(SECOND);
			now += gap;
			excess = Math.max(0, excess - (double) gap / SECOND * rate);
			long tokens = 1 + random.nextLong(burst);
			if (random.nextInt(4) == 0) {
				bucket.putBack(tokens / 2, now);
				excess -= tokens / 2;
			}
			else if (bucket.tryTake(tokens, now)) {
				excess += tokens;
			}
			assertThat(excess).isAtMost(burst + ROUNDING_TOLERANCE_TOKENS);
			assertThat(bucket.level(now)).isAtLeast(0.0);
			assertThat(bucket.level(now)).isAtMost((double) burst);
		}
	}

	/**
	 * Guards against a pool whose level exceeds the team's burst or that gives out more
	 * tokens than have accrued, while slices come and go, grants end and limits are
	 * applied again.
	 */
	@Property(seed = "20261204", tries = 300)
	void poolHoldsAtMostItsBurst(@ForAll @IntRange(min = 1, max = 7) int slots, @ForAll long seed) {
		Random random = new Random(seed);
		LendingTerms terms = LendingTerms.forPeriod(SECOND);
		ShardPool pool = new ShardPool(terms, slots);
		Team team = new Team("team", 1_000, 5_000, 1, null);
		long now = 0;
		double spent = 0;
		for (int step = 0; step < 200; step++) {
			now += random.nextLong(SECOND / 2);
			String lender = "vm-" + random.nextInt(slots);
			switch (random.nextInt(6)) {
				case 0 -> pool.addSlice(lender, 1, now + terms.loanTermNanos(), now);
				case 1 -> pool.removeSlice(lender, now);
				case 2 -> {
					long tokens = 1 + random.nextLong(1_000);
					spent += pool.take(team, tokens, now) ? tokens : 0;
				}
				case 3 -> {
					spent += pool.grant(team, lender, step, random.nextLong(500), random.nextLong(500), now);
				}
				case 4 -> pool.applyBalances(team, lender, List.of(new GrantBalance(random.nextInt(step + 1), 0)), now);
				default -> pool.applyLimitsAndEvict((id) -> team, now);
			}
			assertThat(pool.level(team, now)).isAtMost(5_000 + ROUNDING_TOLERANCE_TOKENS);
			assertThat(pool.level(team, now)).isAtLeast(-ROUNDING_TOLERANCE_TOKENS);
			assertThat(spent).isAtMost(now / (double) SECOND * 1_000 + ROUNDING_TOLERANCE_TOKENS);
		}
	}

	/** Guards against shards that are lost or added by the list or bit set encoding. */
	@Property(seed = "20261204", tries = 200)
	void shardSetIsUnchangedByEncoding(@ForAll @IntRange(min = 0, max = 1024) int size, @ForAll long seed) {
		java.util.BitSet shards = new java.util.BitSet();
		new Random(seed).ints(size, 0, ShardSet.SHARDS).forEach(shards::set);
		assertThat(ShardSet.decode(ShardSet.encode(shards))).isEqualTo(shards);
		assertThat(ShardSet.encode(shards).length).isAtMost(1 + ShardSet.SHARDS / Byte.SIZE);
	}

}
