package org.skylarkstack.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Tokens of one team that one owner holds or has granted.
 *
 * <p>
 * Invariant: level + outstanding grants &lt;= share x burst, where the share is the sum
 * of the pooled slices. After the share or the burst has shrunk, the outstanding grants
 * alone may exceed the bound until their terms end; the level is 0 for that time. Tokens
 * accrue at share x rate and only up to the bound. The headroom is the bound minus the
 * level and the outstanding grants. A refund that was in transit counts only up to the
 * least headroom since it was sent; otherwise a full bucket and the refunds in transit
 * would together exceed the burst. Not thread-safe.
 */
final class TeamLedger {

	private static final double NANOS_PER_SECOND = 1e9;

	private static final double FULL_FRACTION = 1 - 1e-9;

	/** Refunds that were in transit for longer are dropped. */
	private static final long MAX_REFUND_DELAY_NANOS = 10_000_000_000L;

	private final Deque<Headroom> headroomMinima = new ArrayDeque<>();

	private final long createdNanos;

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
		this.createdNanos = nowNanos;
	}

	/**
	 * Advances the ledger to a time: accrues tokens and ends expired grants in the order
	 * of their ends.
	 * @param share the share of the team's rate and burst since the last call
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
	 * Reduces the level to the bound and records the headroom.
	 * @param share the current share of the team's rate and burst
	 */
	void cap(double share) {
		double bound = share * this.burstTokens - this.outstanding;
		this.level = Math.max(0, Math.min(this.level, bound));
		recordHeadroom(Math.max(0, bound - this.level));
	}

	// Keeps the headroom rising from the oldest to the newest entry of the queue. The
	// first entry since a time is therefore the least headroom since then.
	private void recordHeadroom(double headroom) {
		while (!this.headroomMinima.isEmpty() && this.headroomMinima.getLast().tokens() >= headroom) {
			this.headroomMinima.removeLast();
		}
		this.headroomMinima.addLast(new Headroom(this.updatedNanos, headroom));
		while (this.updatedNanos - this.headroomMinima.getFirst().nanos() > MAX_REFUND_DELAY_NANOS) {
			this.headroomMinima.removeFirst();
		}
	}

	private double minHeadroomSince(long sinceNanos) {
		if (this.createdNanos - sinceNanos > 0 || this.updatedNanos - sinceNanos > MAX_REFUND_DELAY_NANOS) {
			return 0;
		}
		return this.headroomMinima.stream()
			.filter((headroom) -> headroom.nanos() - sinceNanos >= 0)
			.mapToDouble(Headroom::tokens)
			.findFirst()
			.orElse(0);
	}

	// A change of limits never raises the level.
	void changeLimits(double newTokensPerSecond, double newBurstTokens, double share) {
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

	/**
	 * Puts back a refund that was in transit, up to the least headroom since a time
	 * before it was sent.
	 * @param tokens the refunded tokens
	 * @param sinceNanos a time before the refund was sent, in this VM's monotonic time
	 * @param share the current share of the team's rate and burst
	 */
	void putBackDelayed(double tokens, long sinceNanos, double share) {
		putBack(Math.min(tokens, minHeadroomSince(sinceNanos)), share);
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

	// Balances may arrive late or out of order, so only a smaller one than the last
	// counts. Returns the tokens that are no longer outstanding.
	double applyBalance(String borrower, long grantId, double remaining) {
		for (int index = 0; index < this.grants.size(); index++) {
			OutstandingGrant grant = this.grants.get(index);
			if (grant.id() == grantId && grant.borrower().equals(borrower) && remaining < grant.tokens()) {
				double ended = grant.tokens() - Math.max(0, remaining);
				this.outstanding -= ended;
				if (remaining > 0) {
					this.grants.set(index, grant.withTokens(remaining));
				}
				else {
					this.grants.remove(index);
				}
				return ended;
			}
		}
		return 0;
	}

	boolean hasOutstanding() {
		return !this.grants.isEmpty();
	}

	boolean isFull(double share) {
		return this.grants.isEmpty() && this.level >= share * this.burstTokens * FULL_FRACTION;
	}

	double tokensPerSecond() {
		return this.tokensPerSecond;
	}

	double burstTokens() {
		return this.burstTokens;
	}

	private record Headroom(long nanos, double tokens) {

	}

	/**
	 * Grant that its borrower may still spend.
	 */
	record OutstandingGrant(long id, String borrower, double tokens, long endNanos) {

		OutstandingGrant withTokens(double remaining) {
			return new OutstandingGrant(this.id, this.borrower, remaining, this.endNanos);
		}

	}

}
