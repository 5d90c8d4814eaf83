package org.skylarkstack.limit;

import java.util.ArrayList;
import java.util.List;

/**
 * Tokens of one team that one owner holds or has granted.
 *
 * <p>
 * Invariant: level + outstanding grants &lt;= share x burst, where the share is the sum
 * of the pooled slices. After the share or the burst has shrunk, the outstanding grants
 * alone may exceed the bound until their terms end; the level is 0 for that time. Tokens
 * accrue at share x rate and only up to the bound. Not thread-safe.
 */
final class TeamLedger {

	private static final double NANOS_PER_SECOND = 1e9;

	private static final double FULL = 1 - 1e-9;

	private final List<OutstandingGrant> grants = new ArrayList<>();

	private double tokensPerSecond;

	private double burstTokens;

	private double level;

	private double outstanding;

	private long updatedNanos;

	TeamLedger(double tokensPerSecond, double burstTokens, double level, long nowNanos) {
		this.tokensPerSecond = tokensPerSecond;
		this.burstTokens = burstTokens;
		this.level = level;
		this.updatedNanos = nowNanos;
	}

	/**
	 * Moves the ledger to a time, ending grants that are out of term in order.
	 * @param share the share of the team's rate and burst since the last move
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void accrue(double share, long nowNanos) {
		while (!this.grants.isEmpty() && nowNanos - this.grants.get(0).endNanos() >= 0) {
			OutstandingGrant ended = this.grants.remove(0);
			accrueTo(share, ended.endNanos());
			this.outstanding -= ended.tokens();
		}
		if (this.grants.isEmpty()) {
			this.outstanding = 0;
		}
		accrueTo(share, nowNanos);
	}

	private void accrueTo(double share, long nowNanos) {
		long elapsed = nowNanos - this.updatedNanos;
		if (elapsed > 0) {
			this.level += elapsed / NANOS_PER_SECOND * this.tokensPerSecond * share;
			this.updatedNanos = nowNanos;
		}
		cap(share);
	}

	/**
	 * Cuts the level to what the share allows.
	 * @param share the new share
	 */
	void cap(double share) {
		this.level = Math.max(0, Math.min(this.level, share * this.burstTokens - this.outstanding));
	}

	// The level never rises by a change of limits.
	void limits(double newTokensPerSecond, double newBurstTokens, double share) {
		this.tokensPerSecond = newTokensPerSecond;
		this.burstTokens = newBurstTokens;
		cap(share);
	}

	boolean hasLimits(double otherTokensPerSecond, double otherBurstTokens) {
		return this.tokensPerSecond == otherTokensPerSecond && this.burstTokens == otherBurstTokens;
	}

	double level() {
		return this.level;
	}

	void take(double tokens) {
		this.level -= tokens;
	}

	void putBack(double tokens, double share) {
		this.level += tokens;
		cap(share);
	}

	void grant(OutstandingGrant grant) {
		this.level -= grant.tokens();
		this.outstanding += grant.tokens();
		this.grants.add(grant);
	}

	// Reports may arrive late, so that only a smaller number counts.
	void report(String borrower, long grantId, double remaining) {
		for (int index = 0; index < this.grants.size(); index++) {
			OutstandingGrant grant = this.grants.get(index);
			if (grant.id() == grantId && grant.borrower().equals(borrower) && remaining < grant.tokens()) {
				this.outstanding -= grant.tokens() - Math.max(0, remaining);
				if (remaining > 0) {
					this.grants.set(index, grant.withTokens(remaining));
				}
				else {
					this.grants.remove(index);
				}
				return;
			}
		}
	}

	boolean hasOutstanding() {
		return !this.grants.isEmpty();
	}

	boolean isFull(double share) {
		return this.grants.isEmpty() && this.level >= share * this.burstTokens * FULL;
	}

	double tokensPerSecond() {
		return this.tokensPerSecond;
	}

	double burstTokens() {
		return this.burstTokens;
	}

	/**
	 * Grant that may still be spent by its borrower.
	 */
	record OutstandingGrant(long id, String borrower, double tokens, long endNanos) {

		OutstandingGrant withTokens(double remaining) {
			return new OutstandingGrant(this.id, this.borrower, remaining, this.endNanos);
		}

	}

}
