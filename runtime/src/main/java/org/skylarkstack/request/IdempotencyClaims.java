package org.skylarkstack.request;

import java.util.List;
import java.util.Optional;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.misc.TimeSource;
import org.skylarkstack.store.Row;
import org.skylarkstack.store.RowCondition;
import org.skylarkstack.store.RowWrite;
import org.skylarkstack.store.StoreException;
import org.skylarkstack.store.TableStore;
import org.skylarkstack.store.WriteEffect;

/**
 * Stores the claims of idempotency keys in the platform's table.
 *
 * <p>
 * A request is sent only after its claim is confirmed to be stored. From then on, the
 * claim is removed only if the request cannot have run; otherwise it stays until its
 * expiry, with the outcome once that is known. If a daemon crashes after sending the
 * request, its claim therefore remains, and every re-send is refused.
 *
 * <p>
 * The platform may restore the store from a copy that is some seconds old. A VM therefore
 * remembers its recent claims: they decide on re-sends to the same VM, and
 * {@link #recover(long)} writes those again that the store has lost. A re-send to another
 * VM before that is run again.
 */
public final class IdempotencyClaims {

	private static final long CLAIM_TTL_MILLIS = 24 * 3_600_000L;

	private final TableStore store;

	private final ClaimWriteRetryQueue claimWriteRetryQueue;

	private final TimeSource time;

	private final RecentClaims recent = new RecentClaims();

	private final ClaimRecovery recovery;

	/**
	 * Creates the claims.
	 * @param store the platform's table
	 * @param claimWriteRetryQueue retries the writes that the store did not confirm
	 * @param time the time source
	 */
	public IdempotencyClaims(TableStore store, ClaimWriteRetryQueue claimWriteRetryQueue, TimeSource time) {
		this.store = store;
		this.claimWriteRetryQueue = claimWriteRetryQueue;
		this.time = time;
		this.recovery = new ClaimRecovery(store, this.recent);
	}

	/**
	 * Claims an idempotency key.
	 * @param claim the claim
	 * @return the stored response of the request that claimed the key before; empty if
	 * this claim is stored and the request may be sent
	 * @throws RouterException if the request must not be sent and no response is stored
	 */
	public Optional<StoredResponse> claim(Claim claim) {
		long startNanos = this.time.nanos();
		Optional<Row> remembered = this.recent.find(claim, startNanos);
		if (remembered.isPresent()) {
			return ClaimRow.response(remembered.get(), claim);
		}
		Optional<StoredResponse> stored = claimInStore(claim);
		if (stored.isEmpty()) {
			this.recent.remember(ClaimRow.open(claim, expiresMillis()), startNanos, this.time.nanos());
		}
		return stored;
	}

	private Optional<StoredResponse> claimInStore(Claim claim) {
		try {
			if (put(claim, RowCondition.ABSENT)) {
				return Optional.empty();
			}
		}
		catch (StoreException ex) {
			if (ex.effect() == WriteEffect.NOT_APPLIED) {
				throw new RouterException(ErrorType.CLAIM_UNAVAILABLE);
			}
			return resolveUnconfirmedClaim(claim);
		}
		try {
			return takeOverOrReplay(claim);
		}
		catch (StoreException ex) {
			// The store may have applied the put, retried it, and failed the condition on
			// the row that it had just written; or the take-over may still be applied.
			return releaseAndRefuse(claim);
		}
	}

	private boolean put(Claim claim, RowCondition condition) {
		return this.store.write(List.of(RowWrite.put(ClaimRow.open(claim, expiresMillis()), condition)));
	}

	private long expiresMillis() {
		return this.time.epochMillis() + CLAIM_TTL_MILLIS;
	}

	// Resolves a write whose effect is unknown: the attempt id of the stored row shows
	// whether this claim was stored.
	private Optional<StoredResponse> resolveUnconfirmedClaim(Claim claim) {
		try {
			Optional<Row> row = this.store.get(claim.partition(), claim.sort());
			if (row.isEmpty()) {
				return releaseAndRefuse(claim);
			}
			if (ClaimRow.attemptId(row.get()).equals(claim.attemptId())) {
				return Optional.empty();
			}
			return ClaimRow.response(row.get(), claim);
		}
		catch (StoreException ex) {
			return releaseAndRefuse(claim);
		}
	}

	private Optional<StoredResponse> takeOverOrReplay(Claim claim) {
		Optional<Row> row = this.store.get(claim.partition(), claim.sort());
		if (row.isEmpty()) {
			// The previous claim was released between the write and the read; the caller
			// may send the request again.
			return releaseAndRefuse(claim);
		}
		String holder = ClaimRow.attemptId(row.get());
		if (holder.equals(claim.attemptId())) {
			return Optional.empty();
		}
		if (!ExpiredRowCleaner.isExpired(row.get(), this.time.epochMillis())) {
			return ClaimRow.response(row.get(), claim);
		}
		if (put(claim, ClaimRow.ownedBy(holder))) {
			return Optional.empty();
		}
		throw new RouterException(ErrorType.CLAIM_IN_PROGRESS);
	}

	private Optional<StoredResponse> releaseAndRefuse(Claim claim) {
		this.claimWriteRetryQueue.add(ClaimRow.release(claim), this.time.nanos());
		throw new RouterException(ErrorType.CLAIM_UNAVAILABLE);
	}

	/**
	 * Records that the claimed request ran.
	 * @param claim the claim
	 * @param response the response to return to re-sends, or {@code null} if it is not
	 * kept
	 */
	public void record(Claim claim, @Nullable StoredResponse response) {
		Row row = ClaimRow.outcome(claim, response, expiresMillis());
		RowWrite write = RowWrite.put(row, ClaimRow.ownedBy(claim.attemptId()));
		long startNanos = this.time.nanos();
		try {
			boolean applied = this.store.write(List.of(write));
			this.recent.remember(row, startNanos, this.time.nanos());
			if (!applied) {
				this.recovery.restore(row, this.store.get(row.partition(), row.sort()));
			}
		}
		catch (StoreException ex) {
			this.recent.remember(row, startNanos, this.time.nanos());
			this.claimWriteRetryQueue.add(write, this.time.nanos());
		}
	}

	/**
	 * Removes a claim whose request has not run.
	 * @param claim the claim
	 */
	public void release(Claim claim) {
		this.recent.rememberReleased(claim, this.time.nanos());
		writeOrQueue(ClaimRow.release(claim));
	}

	/**
	 * Writes recent claims of this VM again if the store has lost them. To be called
	 * periodically.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @throws StoreException if the store does not respond
	 */
	public void recover(long nowNanos) {
		this.recovery.step(nowNanos);
	}

	/**
	 * Returns the number of claims of this VM that the store was found to have lost.
	 * @return the count since start
	 */
	public long lostClaims() {
		return this.recovery.lostClaims();
	}

	/**
	 * Returns the number of lost claims whose keys another attempt had claimed before
	 * they were written again; the requests may have run twice.
	 * @return the count since start
	 */
	public long claimsTakenAgain() {
		return this.recovery.conflicts();
	}

	private void writeOrQueue(RowWrite write) {
		try {
			this.store.write(List.of(write));
		}
		catch (StoreException ex) {
			this.claimWriteRetryQueue.add(write, this.time.nanos());
		}
	}

}
