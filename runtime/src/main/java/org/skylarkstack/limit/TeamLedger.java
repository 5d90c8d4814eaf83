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
 * accrue at share x rate and only up to the bound. A refund that was on its way counts
 * only as far as there was room for it all the time since it left; otherwise a full
 * bucket and refunds on their way would together exceed the burst. Not thread-safe.
 */
final class TeamLedger {

	private static final double NANOS_PER_SECOND = 1e9;

	private static final double FULL_FRACTION = 1 - 1e-9;

	/** Refunds that were on their way for longer are lost. */
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
		double bound = share * this.burstTokens - this.outstanding;
		this.level = Math.max(0, Math.min(this.level, bound));
		recordHeadroom(Math.max(0, bound - this.level));
	}

	// Keeps rooms that rise from the oldest to the newest: the first one since a time is
	// the least since then.
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

	// The level never rises by a change of limits.
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
	 * Takes a refund that was sent at a time or later.
	 * @param tokens the tokens
	 * @param sinceNanos a time on this clock before the refund was sent
	 * @param share the present share
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

	// Reports may arrive late, so that only a smaller number counts. Returns the tokens
	// that are no longer outstanding.
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
	 * Grant that may still be spent by its borrower.
	 */
	record OutstandingGrant(long id, String borrower, double tokens, long endNanos) {

		OutstandingGrant withTokens(double remaining) {
			return new OutstandingGrant(this.id, this.borrower, remaining, this.endNanos);
		}

	}

}
