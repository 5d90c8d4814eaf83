package org.skylarkstack.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.store.Row;

/**
 * Claims that this VM has written recently, with their last state. The platform may
 * restore the table service from a copy that is some seconds old; this memory then
 * decides instead of the store. Bounded; the oldest claims are forgotten first.
 * Thread-safe.
 */
final class RecentClaims {

	/** Time after its last write for which a claim is remembered. */
	static final long RETENTION_NANOS = Duration.ofMinutes(5).toNanos();

	private static final int MAX_CLAIMS = 10_000;

	/** Maximum total length of the attributes in characters. */
	private static final long MAX_CHARACTERS = 8L * 1024 * 1024;

	/** Claims in the order of their last writes, by row key. */
	private final Map<String, Entry> entries = new LinkedHashMap<>();

	private long characters;

	private static String key(String partition, String sort) {
		return partition + '/' + sort;
	}

	/**
	 * Remembers the state of a claim that was written.
	 * @param row the row
	 * @param startNanos the monotonic time in nanoseconds at which the write was sent
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	synchronized void remember(Row row, long startNanos, long nowNanos) {
		add(new Entry(row.partition(), row.sort(), ClaimRow.attemptId(row), row, startNanos, nowNanos));
	}

	/**
	 * Remembers that a claim was released.
	 * @param claim the claim
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	synchronized void rememberReleased(Claim claim, long nowNanos) {
		add(new Entry(claim.partition(), claim.sort(), claim.attemptId(), null, nowNanos, nowNanos));
	}

	private void add(Entry entry) {
		forget(entry.partition, entry.sort);
		this.entries.put(key(entry.partition, entry.sort), entry);
		this.characters += entry.characters();
		Iterator<Entry> oldest = this.entries.values().iterator();
		while (oldest.hasNext()) {
			Entry first = oldest.next();
			boolean expired = entry.confirmedNanos - first.confirmedNanos > RETENTION_NANOS;
			if (!expired && this.entries.size() <= MAX_CLAIMS && this.characters <= MAX_CHARACTERS) {
				break;
			}
			oldest.remove();
			this.characters -= first.characters();
		}
	}

	synchronized void forget(String partition, String sort) {
		Entry removed = this.entries.remove(key(partition, sort));
		if (removed != null) {
			this.characters -= removed.characters();
		}
	}

	synchronized boolean isCurrent(Entry entry) {
		return this.entries.get(key(entry.partition, entry.sort)) == entry;
	}

	/**
	 * Finds the state of a claim that this VM has written and not released.
	 * @param claim a claim of the same idempotency key
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the row as last written
	 */
	synchronized Optional<Row> find(Claim claim, long nowNanos) {
		Entry entry = this.entries.get(key(claim.partition(), claim.sort()));
		return (entry != null && nowNanos - entry.confirmedNanos <= RETENTION_NANOS) ? Optional.ofNullable(entry.row)
				: Optional.empty();
	}

	/**
	 * Returns the remembered claims.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the claims, the one that was written last first
	 */
	synchronized List<Entry> newestFirst(long nowNanos) {
		List<Entry> remembered = new ArrayList<>();
		for (Entry entry : this.entries.values()) {
			if (nowNanos - entry.confirmedNanos <= RETENTION_NANOS) {
				remembered.add(entry);
			}
		}
		Collections.reverse(remembered);
		return remembered;
	}

	/**
	 * Last state of a claim.
	 *
	 * @param partition the partition key of its row
	 * @param sort the sort key of its row
	 * @param attemptId the attempt that owns it
	 * @param row the row, or {@code null} if the claim was released
	 * @param startNanos the monotonic time in nanoseconds at which the write was sent
	 * @param confirmedNanos the monotonic time in nanoseconds after the write
	 */
	record Entry(String partition, String sort, String attemptId, @Nullable Row row, long startNanos,
			long confirmedNanos) {

		private long characters() {
			Row written = this.row;
			return (written != null) ? written.attributes().values().stream().mapToLong(String::length).sum() : 0;
		}

	}

}
