package org.skylarkstack.limit;

import java.util.BitSet;
import java.util.Objects;

import org.jspecify.annotations.Nullable;

/**
 * Lender side: tracks for each shard whether this VM's own slice is lent or in its own
 * pool.
 *
 * <p>
 * Invariant: at any moment a shard's slice is in one state: lent to one incarnation of
 * one VM until the end of the loan, in the pool of this VM, or unused.
 * <ul>
 * <li>A loan is counted from the time of sending, for its term plus the drift allowance.
 * Until it ends, the slice is neither used by this VM nor lent to another VM or to
 * another incarnation of the same VM, whether or not the loan has arrived.</li>
 * <li>A loan never outlasts the slot's lease.</li>
 * <li>A slice that was removed from the own pool drains: it is lent only when the grants
 * that it backed have expired.</li>
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
	 * Returns whether all loans of the slice have ended, so that the slice may be added
	 * to the own pool.
	 * @param shard the number of the shard
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return whether the slice is free of loans
	 */
	boolean isLoanOver(int shard, long nowNanos) {
		return this.borrowers[shard] == null || nowNanos - this.loanEndNanos[shard] >= 0;
	}

	/**
	 * Adds the slice to the own pool.
	 * @param shard the number of the shard
	 * @param endNanos the end of the slot's lease in nanoseconds
	 */
	void addToOwnPool(int shard, long endNanos) {
		this.ownPool.set(shard);
		this.ownEndNanos[shard] = endNanos;
		this.borrowers[shard] = null;
		this.draining[shard] = false;
	}

	// Returns whether the slot's lease has a new end, so that the slice in the own pool
	// must be extended.
	boolean updateOwnEnd(int shard, long endNanos) {
		boolean changed = this.ownEndNanos[shard] != endNanos;
		this.ownEndNanos[shard] = endNanos;
		return changed;
	}

	/**
	 * Removes the slice from the own pool.
	 * @param shard the number of the shard
	 * @param hasOutstanding whether grants that the slice backed may still be spent
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
	 * Lends the slices of shards to a peer. Slices that are in the own pool, that drain
	 * or that are lent to another VM or incarnation are left out.
	 * @param wanted the shards that the peer should own
	 * @param peer the borrowing VM
	 * @param incarnation the incarnation of the borrowing VM
	 * @param termNanos the term that is sent to the peer, in nanoseconds
	 * @param nowNanos the time of sending, in monotonic nanoseconds
	 * @return the shards whose slices are lent
	 */
	BitSet lend(BitSet wanted, String peer, long incarnation, long termNanos, long nowNanos) {
		BitSet lent = new BitSet(ShardSet.SHARDS);
		wanted.stream().forEach((shard) -> {
			boolean sameBorrower = Objects.equals(this.borrowers[shard], peer)
					&& this.borrowerIncarnations[shard] == incarnation;
			if (this.ownPool.get(shard) || isDraining(shard, nowNanos)
					|| (!sameBorrower && !isLoanOver(shard, nowNanos))) {
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
