package org.skylarkstack.request;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

import org.skylarkstack.store.Row;
import org.skylarkstack.store.RowCondition;
import org.skylarkstack.store.RowWrite;
import org.skylarkstack.store.StoreException;
import org.skylarkstack.store.TableStore;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes claims again that the store has lost because the platform restored it from an
 * older copy.
 *
 * <p>
 * A copy contains each write that was confirmed before one of its writes was sent. Only
 * the claims that were written last are therefore read, until one is found unchanged and
 * the next was confirmed before that one was sent.
 */
final class ClaimRecovery {

	private static final Logger LOG = LoggerFactory.getLogger(ClaimRecovery.class);

	private final AtomicLong lostClaims = new AtomicLong();

	private final AtomicLong conflicts = new AtomicLong();

	private final TableStore store;

	private final RecentClaims recent;

	ClaimRecovery(TableStore store, RecentClaims recent) {
		this.store = store;
		this.recent = recent;
	}

	long lostClaims() {
		return this.lostClaims.get();
	}

	long conflicts() {
		return this.conflicts.get();
	}

	/**
	 * Reads the claims that were written last, and writes those again that are missing.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @throws StoreException if the store does not respond
	 */
	void step(long nowNanos) {
		long sentNanos = nowNanos;
		boolean intact = false;
		long lost = 0;
		for (RecentClaims.Entry entry : this.recent.newestFirst(nowNanos)) {
			if (intact && entry.confirmedNanos() - sentNanos < 0) {
				break;
			}
			Optional<Row> stored = this.store.get(entry.partition(), entry.sort());
			boolean owned = stored.map(ClaimRow::attemptId).filter(entry.attemptId()::equals).isPresent();
			Row row = entry.row();
			if (row == null) {
				if (owned) {
					lost++;
					this.store.write(List.of(ClaimRow.release(entry.partition(), entry.sort(), entry.attemptId())));
				}
			}
			else if (owned && (ClaimRow.isOpen(row) || !ClaimRow.isOpen(stored.orElseThrow()))) {
				sentNanos = intact ? Math.min(sentNanos, entry.startNanos()) : entry.startNanos();
				intact = true;
			}
			else if (this.recent.isCurrent(entry)) {
				lost++;
				restore(row, stored);
			}
		}
		if (lost > 0) {
			this.lostClaims.addAndGet(lost);
			LOG.atError().addKeyValue("event", "store_lost_claims").addKeyValue("claims", lost).log();
		}
	}

	/**
	 * Writes a claim again that the store does not hold as this VM wrote it.
	 * @param row the row as written
	 * @param stored the row in the store
	 * @throws StoreException if the store does not respond
	 */
	void restore(Row row, Optional<Row> stored) {
		String attempt = ClaimRow.attemptId(row);
		if (stored.isEmpty()) {
			if (this.store.write(List.of(RowWrite.put(row, RowCondition.ABSENT)))) {
				return;
			}
		}
		else if (ClaimRow.attemptId(stored.get()).equals(attempt)) {
			this.store.write(List.of(RowWrite.put(row, ClaimRow.ownedBy(attempt))));
			return;
		}
		Optional<Row> other = stored.isEmpty() ? this.store.get(row.partition(), row.sort()) : stored;
		if (other.map(ClaimRow::attemptId).filter(attempt::equals).isEmpty()) {
			this.conflicts.incrementAndGet();
			this.recent.forget(row.partition(), row.sort());
			LOG.atError()
				.addKeyValue("event", "claim_taken_again")
				.addKeyValue("attempt", attempt)
				.addKeyValue("other", other.map(ClaimRow::attemptId).orElse(""))
				.log();
		}
	}

}
