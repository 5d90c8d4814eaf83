package org.skylarkstack.limit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.configuration.Team;

/**
 * Owner side of one shard: the slices that this VM pools and the tokens of the shard's
 * teams. A slice comes from a loan or from this VM's own rate slot.
 *
 * <p>
 * Invariants:
 * <ul>
 * <li>A slice counts from its arrival until its cut-off, which is one grant term with
 * drift allowance before its loan ends. Every grant that a slice has backed has therefore
 * expired when the loan ends, and at that time level + outstanding &lt;= the bound of the
 * remaining slices.</li>
 * <li>A new slice adds no tokens; tokens accrue from its arrival on. A slice that is
 * extended before its cut-off keeps its start; one that was cut off starts again.</li>
 * <li>A team without a ledger holds, for each slice, the tokens that have accrued since
 * the slice's start, up to the slice's burst. A ledger is dropped only when it holds no
 * more than that, so that dropping it creates no tokens.</li>
 * <li>The ledger of a deleted team is kept until it is full at the team's last limits, so
 * that a team that is soon created again does not start with a second burst.</li>
 * </ul>
 * Not thread-safe.
 */
final class ShardPool {

	private static final double NANOS_PER_SECOND = 1e9;

	/** Smaller differences are rounding errors. */
	private static final double ROUNDING_TOLERANCE_TOKENS = 1e-6;

	private final LendingTerms terms;

	private final double sliceShare;

	private final Map<String, PooledSlice> slices = new HashMap<>();

	private final Map<String, TeamLedger> ledgers = new HashMap<>();

	private long nextCutoffNanos;

	ShardPool(LendingTerms terms, int slotCount) {
		this.terms = terms;
		this.sliceShare = 1.0 / slotCount;
	}

	private double share() {
		return this.slices.size() * this.sliceShare;
	}

	boolean hasSlices(long nowNanos) {
		advance(nowNanos);
		return !this.slices.isEmpty();
	}

	boolean hasSlice(String lender, long nowNanos) {
		advance(nowNanos);
		return this.slices.containsKey(lender);
	}

	boolean isIdle() {
		return this.slices.isEmpty() && this.ledgers.isEmpty();
	}

	/**
	 * Adds a lender's slice or extends it. A slice of another incarnation of the lender
	 * is replaced, and a slice whose cut-off has passed is ignored.
	 * @param lender the lending VM, or this VM for its own slice
	 * @param incarnation the lender's incarnation
	 * @param endNanos the end of the loan or of the slot's lease in nanoseconds
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void addSlice(String lender, long incarnation, long endNanos, long nowNanos) {
		advance(nowNanos);
		long cutoffNanos = endNanos - this.terms.withDriftAllowance(this.terms.grantTermNanos());
		if (cutoffNanos - nowNanos <= 0) {
			return;
		}
		PooledSlice former = this.slices.get(lender);
		if (former != null && former.incarnation() != incarnation) {
			removeSlice(lender, nowNanos);
			former = null;
		}
		if (former == null) {
			accrueAll(nowNanos);
			this.slices.put(lender, new PooledSlice(incarnation, nowNanos, cutoffNanos));
		}
		else if (cutoffNanos - former.cutoffNanos() > 0) {
			this.slices.put(lender, new PooledSlice(incarnation, former.startNanos(), cutoffNanos));
		}
		updateNextCutoff();
	}

	/**
	 * Removes a lender's slice immediately. Grants that it backed stay outstanding.
	 * @param lender the lending VM
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void removeSlice(String lender, long nowNanos) {
		advance(nowNanos);
		if (this.slices.containsKey(lender)) {
			accrueAll(nowNanos);
			this.slices.remove(lender);
			this.ledgers.values().forEach((ledger) -> ledger.cap(share()));
			updateNextCutoff();
		}
	}

	/**
	 * Advances the pool to a time and removes the slices whose cut-off has passed, in the
	 * order of their cut-offs.
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void advance(long nowNanos) {
		while (!this.slices.isEmpty() && nowNanos - this.nextCutoffNanos >= 0) {
			long cutoffNanos = this.nextCutoffNanos;
			accrueAll(cutoffNanos);
			this.slices.values().removeIf((slice) -> slice.cutoffNanos() == cutoffNanos);
			this.ledgers.values().forEach((ledger) -> ledger.cap(share()));
			updateNextCutoff();
		}
	}

	private void updateNextCutoff() {
		Iterator<PooledSlice> it = this.slices.values().iterator();
		if (it.hasNext()) {
			this.nextCutoffNanos = it.next().cutoffNanos();
			it.forEachRemaining((slice) -> {
				if (slice.cutoffNanos() - this.nextCutoffNanos < 0) {
					this.nextCutoffNanos = slice.cutoffNanos();
				}
			});
		}
	}

	private void accrueAll(long nowNanos) {
		double share = share();
		this.ledgers.values().forEach((ledger) -> ledger.accrue(share, nowNanos));
	}

	private TeamLedger ledger(Team team, long nowNanos) {
		advance(nowNanos);
		TeamLedger ledger = this.ledgers.computeIfAbsent(team.id(), (id) -> new TeamLedger(team.tokensPerSecond(),
				team.burstTokens(), accruedSinceStart(team.tokensPerSecond(), team.burstTokens(), nowNanos), nowNanos));
		ledger.accrue(share(), nowNanos);
		if (!ledger.hasLimits(team.tokensPerSecond(), team.burstTokens())) {
			ledger.changeLimits(team.tokensPerSecond(), team.burstTokens(), share());
		}
		return ledger;
	}

	private double accruedSinceStart(double tokensPerSecond, double burstTokens, long nowNanos) {
		double tokens = 0;
		for (PooledSlice slice : this.slices.values()) {
			tokens += Math.min(burstTokens, (nowNanos - slice.startNanos()) / NANOS_PER_SECOND * tokensPerSecond);
		}
		return tokens * this.sliceShare;
	}

	double level(Team team, long nowNanos) {
		return ledger(team, nowNanos).level();
	}

	/**
	 * Takes tokens for a reservation of this VM.
	 * @param team the team
	 * @param tokens the tokens to take, all or none
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return whether the pool held enough tokens
	 */
	boolean take(Team team, double tokens, long nowNanos) {
		TeamLedger ledger = ledger(team, nowNanos);
		if (ledger.level() + ROUNDING_TOLERANCE_TOKENS < tokens) {
			return false;
		}
		ledger.take(Math.min(tokens, ledger.level()));
		return true;
	}

	void putBack(Team team, double tokens, long nowNanos) {
		ledger(team, nowNanos).putBack(tokens, share());
	}

	void putBackDelayed(Team team, double tokens, long sinceNanos, long nowNanos) {
		ledger(team, nowNanos).putBackDelayed(tokens, sinceNanos, share());
	}

	/**
	 * Grants tokens to a borrower. The tokens that it needs immediately are granted all
	 * or none, because partial grants scattered over several VMs could leave each VM with
	 * too few tokens for its request. The tokens that it wants in advance are granted
	 * only from what the pool holds above half of its burst.
	 * @param team the team
	 * @param borrower the borrowing VM
	 * @param grantId the number of the grant
	 * @param needed the tokens needed immediately
	 * @param wanted the tokens wanted in advance
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the tokens granted, 0 if the pool holds fewer than are needed
	 */
	long grant(Team team, String borrower, long grantId, long needed, long wanted, long nowNanos) {
		TeamLedger ledger = ledger(team, nowNanos);
		if (ledger.level() + ROUNDING_TOLERANCE_TOKENS < needed) {
			return 0;
		}
		double spare = ledger.level() - needed - share() * team.burstTokens() / 2;
		long tokens = needed + (long) Math.max(0, Math.min(wanted, Math.floor(spare)));
		if (tokens > 0) {
			ledger.grant(new TeamLedger.OutstandingGrant(grantId, borrower, tokens,
					nowNanos + this.terms.withDriftAllowance(this.terms.grantTermNanos())));
		}
		return tokens;
	}

	double applyBalances(Team team, String borrower, Collection<GrantBalance> balances, long nowNanos) {
		TeamLedger ledger = ledger(team, nowNanos);
		return balances.stream()
			.mapToDouble((balance) -> ledger.applyBalance(borrower, balance.grantId(), balance.remainingTokens()))
			.sum();
	}

	/**
	 * Returns how long it takes until the pool holds an amount.
	 * @param team the team
	 * @param tokens the amount
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the time in nanoseconds; a loan term if the pool can never hold the amount
	 * with its current slices
	 */
	long nanosUntil(Team team, double tokens, long nowNanos) {
		double missing = tokens - ledger(team, nowNanos).level();
		double share = share();
		if (missing <= 0) {
			return 0;
		}
		if (share * team.burstTokens() < tokens) {
			return this.terms.loanTermNanos();
		}
		return (long) Math.ceil(missing / (share * team.tokensPerSecond()) * NANOS_PER_SECOND);
	}

	boolean hasOutstanding(long nowNanos) {
		advance(nowNanos);
		accrueAll(nowNanos);
		return this.ledgers.values().stream().anyMatch(TeamLedger::hasOutstanding);
	}

	/**
	 * Applies changed limits and drops the ledgers that hold no more than a team without
	 * a ledger would.
	 * @param teams finds the current limits; {@code null} for a deleted team
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void applyLimitsAndEvict(Function<String, @Nullable Team> teams, long nowNanos) {
		advance(nowNanos);
		accrueAll(nowNanos);
		List<String> idle = new ArrayList<>();
		this.ledgers.forEach((id, ledger) -> {
			Team team = teams.apply(id);
			if (team != null && !ledger.hasLimits(team.tokensPerSecond(), team.burstTokens())) {
				ledger.changeLimits(team.tokensPerSecond(), team.burstTokens(), share());
			}
			if (ledger.isFull(share())
					&& ledger.level() <= accruedSinceStart(ledger.tokensPerSecond(), ledger.burstTokens(), nowNanos)
							+ ROUNDING_TOLERANCE_TOKENS) {
				idle.add(id);
			}
		});
		idle.forEach(this.ledgers::remove);
	}

	int ledgerCount() {
		return this.ledgers.size();
	}

	private record PooledSlice(long incarnation, long startNanos, long cutoffNanos) {

	}

}
