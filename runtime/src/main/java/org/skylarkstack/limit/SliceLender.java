package org.skylarkstack.limit;

import java.util.BitSet;
import java.util.Objects;

import org.jspecify.annotations.Nullable;

/**
 * Lender side: where this VM's own slice of each shard is.
 *
 * <p>
 * Invariant: at any moment a shard's slice is in one place: lent to one incarnation of
 * one VM until the end of the loan, or in the own pool, or nowhere.
 * <ul>
 * <li>A loan is counted from the time of sending, for its term plus the drift allowance.
 * Until then the slice is neither used here nor lent to another VM or to another
 * incarnation of the same VM, whether or not the loan has arrived.</li>
 * <li>A loan never outlasts the slot's lease.</li>
 * <li>A slice taken out of the own pool is lent only when the grants that it backed are
 * out of term.</li>
 * </ul>
 * Not thread-safe.
 */
final class SliceLender {

	private final LendingTerms terms;

	private final @Nullable String[] borrowers = new String[ShardSet.SHARDS];

	private final long[] borrowerIncarnations = new long[ShardSet.SHARDS];

	private final long[] loanEndNanos = new long[ShardSet.SHARDS];

	private final long[] drainEndNanos = new long[ShardSet.SHARDS];

	private final long[] ownEndNanos = new long[ShardSet.SHARDS];

	private final boolean[] draining = new boolean[ShardSet.SHARDS];

	private final BitSet ownPool = new BitSet(ShardSet.SHARDS);

	SliceLender(LendingTerms terms) {
		this.terms = terms;
	}

	boolean isInOwnPool(int shard) {
		return this.ownPool.get(shard);
	}

	/**
	 * Returns whether the slice may go to the own pool.
	 * @param shard the shard
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return whether no loan of it may still run
	 */
	boolean isNotLent(int shard, long nowNanos) {
		return this.borrowers[shard] == null || nowNanos - this.loanEndNanos[shard] >= 0;
	}

	/**
	 * Puts the slice into the own pool.
	 * @param shard the shard
	 * @param endNanos the end of the slot's lease
	 */
	void addToOwnPool(int shard, long endNanos) {
		this.ownPool.set(shard);
		this.ownEndNanos[shard] = endNanos;
		this.borrowers[shard] = null;
		this.draining[shard] = false;
	}

	// Returns whether the lease has a new end, so that the part must be extended.
	boolean updateOwnEnd(int shard, long endNanos) {
		boolean changed = this.ownEndNanos[shard] != endNanos;
		this.ownEndNanos[shard] = endNanos;
		return changed;
	}

	/**
	 * Takes the slice out of the own pool.
	 * @param shard the shard
	 * @param hasOutstanding whether grants that it backed may still be spent
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void removeFromOwnPool(int shard, boolean hasOutstanding, long nowNanos) {
		this.ownPool.clear(shard);
		this.draining[shard] = hasOutstanding;
		this.drainEndNanos[shard] = nowNanos + this.terms.withDriftAllowance(this.terms.grantTermNanos());
	}

	private boolean isDraining(int shard, long nowNanos) {
		if (this.draining[shard] && nowNanos - this.drainEndNanos[shard] >= 0) {
			this.draining[shard] = false;
		}
		return this.draining[shard];
	}

	/**
	 * Lends shards to a peer.
	 * @param wanted the shards that the peer should own
	 * @param peer the borrowing VM
	 * @param incarnation its incarnation
	 * @param termNanos the term that the peer is told
	 * @param nowNanos the time of sending
	 * @return the shards lent
	 */
	BitSet lend(BitSet wanted, String peer, long incarnation, long termNanos, long nowNanos) {
		BitSet lent = new BitSet(ShardSet.SHARDS);
		wanted.stream().forEach((shard) -> {
			boolean sameBorrower = Objects.equals(this.borrowers[shard], peer)
					&& this.borrowerIncarnations[shard] == incarnation;
			if (this.ownPool.get(shard) || isDraining(shard, nowNanos)
					|| (!sameBorrower && !isNotLent(shard, nowNanos))) {
				return;
			}
			long endNanos = nowNanos + this.terms.withDriftAllowance(termNanos);
			boolean extendsLoan = sameBorrower && this.loanEndNanos[shard] - endNanos > 0;
			this.loanEndNanos[shard] = extendsLoan ? this.loanEndNanos[shard] : endNanos;
			this.borrowers[shard] = peer;
			this.borrowerIncarnations[shard] = incarnation;
			lent.set(shard);
		});
		return lent;
	}

}
