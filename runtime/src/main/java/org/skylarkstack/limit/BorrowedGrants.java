package org.skylarkstack.limit;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * Borrower side of one team: the grants that this VM holds and the team's recent demand
 * on this VM.
 *
 * <p>
 * Invariant: the tokens of a grant are spent only before the grant's end. The end is
 * counted from this VM's own timestamp of the request, so that the borrower always stops
 * before the owner counts the grant as spent. Not thread-safe.
 */
final class BorrowedGrants {

	private static final double NANOS_PER_SECOND = 1e9;

	/** Time constant of the exponentially decaying average of demand. */
	private static final double DEMAND_TIME_CONSTANT_SECONDS = 1;

	/** Demand below which a team counts as idle. */
	private static final double MIN_DEMAND_TOKENS_PER_SECOND = 1;

	/**
	 * A grant is returned in full when its remaining term is at most the threshold
	 * divided by this number, because tokens that expire unspent are lost to the team.
	 */
	private static final int FULL_RETURN_DIVISOR = 5;

	private static final Comparator<HeldGrant> BY_END = Comparator.comparingLong((held) -> held.endNanos);

	private final List<HeldGrant> grants = new ArrayList<>();

	private final Map<String, List<GrantBalance>> spentGrants = new HashMap<>();

	private double demand;

	private long demandNanos;

	private long refusedTokens = Long.MAX_VALUE;

	private long refusedUntilNanos;

	private long waitUntilNanos;

	private boolean requestPending;

	private long requestSentNanos;

	BorrowedGrants(long nowNanos) {
		this.demandNanos = nowNanos;
		this.refusedUntilNanos = nowNanos;
		this.waitUntilNanos = nowNanos;
	}

	void add(String owner, long grantId, long tokens, long endNanos, long nowNanos) {
		if (endNanos - nowNanos > 0) {
			this.grants.add(new HeldGrant(owner, grantId, tokens, endNanos));
			this.grants.sort(BY_END);
		}
	}

	long available(long nowNanos) {
		this.grants.removeIf((held) -> nowNanos - held.endNanos >= 0);
		long tokens = 0;
		for (HeldGrant held : this.grants) {
			tokens += held.tokens;
		}
		return tokens;
	}

	/**
	 * Takes tokens from the grants in the order of their ends. The caller has checked
	 * that enough tokens are available.
	 * @param tokens the tokens to take
	 */
	void take(long tokens) {
		long missing = tokens;
		for (Iterator<HeldGrant> it = this.grants.iterator(); it.hasNext() && missing > 0;) {
			HeldGrant held = it.next();
			long taken = Math.min(missing, held.tokens);
			held.tokens -= taken;
			missing -= taken;
			if (held.tokens == 0) {
				recordSpent(held);
				it.remove();
			}
			else {
				held.changed = true;
			}
		}
	}

	private void recordSpent(HeldGrant held) {
		this.spentGrants.computeIfAbsent(held.owner, (owner) -> new ArrayList<>())
			.add(new GrantBalance(held.grantId, 0));
	}

	/**
	 * Returns the balances of an owner's grants that have changed since the last call and
	 * marks them as reported.
	 * @param owner the VM that granted
	 * @return the balances, to be sent to the owner
	 */
	List<GrantBalance> takeChangedBalances(String owner) {
		List<GrantBalance> balances = new ArrayList<>(
				Optional.ofNullable(this.spentGrants.remove(owner)).orElse(List.of()));
		for (HeldGrant held : this.grants) {
			if (held.changed && held.owner.equals(owner)) {
				balances.add(new GrantBalance(held.grantId, held.tokens));
				held.changed = false;
			}
		}
		return balances;
	}

	/**
	 * Returns the owners to which balances are to be reported or tokens may be returned.
	 * @return the identifiers of the VMs
	 */
	Set<String> owners() {
		Set<String> owners = new TreeSet<>(this.spentGrants.keySet());
		this.grants.forEach((held) -> owners.add(held.owner));
		return owners;
	}

	boolean hasChangedBalances() {
		return !this.spentGrants.isEmpty() || this.grants.stream().anyMatch((held) -> held.changed);
	}

	/**
	 * Removes the tokens that will probably not be spent before their grants end. Recent
	 * demand decides how many tokens are kept.
	 * @param owner the VM that granted
	 * @param thresholdNanos the remaining term in nanoseconds above which a grant is not
	 * changed
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the tokens removed, which the caller must return to the owner
	 */
	long removeSurplus(String owner, long thresholdNanos, long nowNanos) {
		long available = available(nowNanos);
		long surplus = available - (long) Math.ceil(demand(nowNanos) * thresholdNanos / NANOS_PER_SECOND);
		long removed = 0;
		for (Iterator<HeldGrant> it = this.grants.iterator(); it.hasNext();) {
			HeldGrant held = it.next();
			long remainingNanos = held.endNanos - nowNanos;
			if (!held.owner.equals(owner) || remainingNanos > thresholdNanos) {
				continue;
			}
			long returnedTokens = (remainingNanos <= thresholdNanos / FULL_RETURN_DIVISOR) ? held.tokens
					: Math.max(0, Math.min(held.tokens, surplus - removed));
			removed += returnedTokens;
			held.tokens -= returnedTokens;
			held.changed |= returnedTokens > 0;
			if (held.tokens == 0) {
				recordSpent(held);
				it.remove();
			}
		}
		return removed;
	}

	void recordDemand(long tokens, long nowNanos) {
		this.demand = demand(nowNanos) + tokens / DEMAND_TIME_CONSTANT_SECONDS;
		this.demandNanos = nowNanos;
	}

	double demand(long nowNanos) {
		double elapsed = (nowNanos - this.demandNanos) / NANOS_PER_SECOND;
		return this.demand * Math.exp(-elapsed / DEMAND_TIME_CONSTANT_SECONDS);
	}

	/**
	 * Records a refusal by the owner, so that requests that would be refused too are
	 * suppressed for a limited time.
	 * @param tokens the tokens refused; requests for fewer tokens are still sent
	 * @param waitNanos the wait that the owner stated, in nanoseconds
	 * @param maxRefusalNanos the longest time in nanoseconds for which the refusal
	 * suppresses requests; half of the stated wait if that is shorter
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void recordRefusal(long tokens, long waitNanos, long maxRefusalNanos, long nowNanos) {
		boolean refusalInEffect = nowNanos - this.refusedUntilNanos < 0;
		this.refusedTokens = refusalInEffect ? Math.min(tokens, this.refusedTokens) : tokens;
		this.refusedUntilNanos = nowNanos + Math.min(maxRefusalNanos, waitNanos / 2);
		this.waitUntilNanos = nowNanos + waitNanos;
	}

	boolean wouldBeRefused(long tokens, long nowNanos) {
		return tokens >= this.refusedTokens && nowNanos - this.refusedUntilNanos < 0;
	}

	long waitNanos(long nowNanos) {
		return Math.max(0, this.waitUntilNanos - nowNanos);
	}

	void setRequestPending(boolean isPending, long nowNanos) {
		this.requestPending = isPending;
		this.requestSentNanos = nowNanos;
	}

	/**
	 * Returns whether the response to a request for tokens in advance is still awaited.
	 * @param timeoutNanos the time in nanoseconds after which the response counts as lost
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return whether the response is awaited
	 */
	boolean isRequestPending(long timeoutNanos, long nowNanos) {
		return this.requestPending && nowNanos - this.requestSentNanos < timeoutNanos;
	}

	boolean isIdle(long nowNanos) {
		return available(nowNanos) == 0 && !hasChangedBalances() && demand(nowNanos) < MIN_DEMAND_TOKENS_PER_SECOND
				&& nowNanos - this.refusedUntilNanos >= 0;
	}

	/**
	 * Grant that this VM holds.
	 */
	private static final class HeldGrant {

		private final String owner;

		private final long grantId;

		private final long endNanos;

		private long tokens;

		private boolean changed;

		HeldGrant(String owner, long grantId, long tokens, long endNanos) {
			this.owner = owner;
			this.grantId = grantId;
			this.tokens = tokens;
			this.endNanos = endNanos;
		}

	}

}
