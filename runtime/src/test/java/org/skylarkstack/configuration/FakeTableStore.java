package org.skylarkstack.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.skylarkstack.store.Row;
import org.skylarkstack.store.RowCondition;
import org.skylarkstack.store.RowWrite;
import org.skylarkstack.store.StoreException;
import org.skylarkstack.store.TableStore;
import org.skylarkstack.store.WriteEffect;

/**
 * In-memory table store with small pages and injectable faults.
 */
final class FakeTableStore implements TableStore {

	private static final int PAGE_ROWS = 1_000;

	private final TreeMap<String, Row> rows = new TreeMap<>();

	private final List<List<RowWrite>> delayedWrites = new ArrayList<>();

	/** Number of calls that still succeed before the store becomes unavailable. */
	private int callsLeft = Integer.MAX_VALUE;

	private int writesToDelay;

	synchronized void failAfter(int calls) {
		this.callsLeft = calls;
	}

	synchronized void recover() {
		this.callsLeft = Integer.MAX_VALUE;
	}

	synchronized void delayWrites(int count) {
		this.writesToDelay = count;
	}

	synchronized void applyDelayedWrites() {
		this.delayedWrites.forEach(this::apply);
		this.delayedWrites.clear();
	}

	synchronized Map<String, Row> copy() {
		return Map.copyOf(this.rows);
	}

	/** Replaces all rows by those of an earlier copy. */
	synchronized void restore(Map<String, Row> copy) {
		this.rows.clear();
		this.rows.putAll(copy);
	}

	@Override
	public synchronized Optional<Row> get(String partition, String sort) {
		countCall();
		return Optional.ofNullable(this.rows.get(partition + '\0' + sort));
	}

	@Override
	public synchronized List<Row> query(String partition, String afterSort, int limit) {
		countCall();
		return this.rows.subMap(partition + '\0' + afterSort, false, partition + '\1', false)
			.values()
			.stream()
			.limit(Math.min(limit, PAGE_ROWS))
			.toList();
	}

	@Override
	public synchronized boolean write(List<RowWrite> writes) {
		countCall();
		if (this.writesToDelay > 0) {
			this.writesToDelay--;
			this.delayedWrites.add(writes);
			throw new StoreException(WriteEffect.UNKNOWN, "timed out", new IllegalStateException());
		}
		return apply(writes);
	}

	private boolean apply(List<RowWrite> writes) {
		if (!writes.stream().allMatch((write) -> conditionHolds(write.row(), write.condition()))) {
			return false;
		}
		writes.forEach((write) -> this.rows.put(key(write.row()), write.row()));
		return true;
	}

	private boolean conditionHolds(Row row, @org.jspecify.annotations.Nullable RowCondition condition) {
		Row present = this.rows.get(key(row));
		if (condition == null || condition.attribute() == null) {
			return condition == null || present == null;
		}
		Map<String, String> attributes = (present != null) ? present.attributes() : Map.of();
		return String.valueOf(condition.expected()).equals(attributes.get(condition.attribute()));
	}

	private void countCall() {
		if (this.callsLeft <= 0) {
			throw new StoreException(WriteEffect.NOT_APPLIED, "down", new IllegalStateException());
		}
		this.callsLeft--;
	}

	private static String key(Row row) {
		return row.partition() + '\0' + row.sort();
	}

}
