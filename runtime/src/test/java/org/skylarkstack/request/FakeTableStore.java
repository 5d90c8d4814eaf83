package org.skylarkstack.request;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.store.Row;
import org.skylarkstack.store.RowCondition;
import org.skylarkstack.store.RowWrite;
import org.skylarkstack.store.StoreException;
import org.skylarkstack.store.TableStore;
import org.skylarkstack.store.WriteEffect;

/**
 * In-memory table that can be down, lose replies and delay writes.
 */
final class FakeTableStore implements TableStore {

	final TreeMap<String, Row> rows = new TreeMap<>();

	/** Writes that failed with an unknown effect and are not applied yet. */
	final Deque<List<RowWrite>> delayedWrites = new ArrayDeque<>();

	/** Number of single rows read. */
	int reads;

	boolean down;

	boolean readsFail;

	boolean losesNextReply;

	boolean delaysNextWrite;

	private static String key(String partition, String sort) {
		return partition + '\n' + sort;
	}

	private static StoreException failure(WriteEffect effect) {
		return new StoreException(effect, "no reply", new java.io.IOException("no reply"));
	}

	@Override
	public Optional<Row> get(String partition, String sort) {
		this.reads++;
		if (this.down || this.readsFail) {
			throw failure(WriteEffect.NOT_APPLIED);
		}
		return Optional.ofNullable(this.rows.get(key(partition, sort)));
	}

	@Override
	public List<Row> query(String partition, String afterSort, int limit) {
		return this.rows.values()
			.stream()
			.filter((row) -> row.partition().equals(partition) && row.sort().compareTo(afterSort) > 0)
			.limit(limit)
			.toList();
	}

	@Override
	public boolean write(List<RowWrite> writes) {
		if (this.down) {
			throw failure(WriteEffect.NOT_APPLIED);
		}
		if (this.delaysNextWrite) {
			this.delaysNextWrite = false;
			this.delayedWrites.add(writes);
			throw failure(WriteEffect.UNKNOWN);
		}
		boolean applied = apply(writes);
		if (this.losesNextReply) {
			this.losesNextReply = false;
			throw failure(WriteEffect.UNKNOWN);
		}
		return applied;
	}

	void applyDelayedWrites() {
		this.delayedWrites.forEach(this::apply);
		this.delayedWrites.clear();
	}

	private boolean apply(List<RowWrite> writes) {
		for (RowWrite write : writes) {
			if (!holds(write.condition(), this.rows.get(key(write.row().partition(), write.row().sort())))) {
				return false;
			}
		}
		for (RowWrite write : writes) {
			String key = key(write.row().partition(), write.row().sort());
			if (write.delete()) {
				this.rows.remove(key);
			}
			else {
				this.rows.put(key, write.row());
			}
		}
		return true;
	}

	private static boolean holds(@Nullable RowCondition condition, @Nullable Row row) {
		if (condition == null) {
			return true;
		}
		String attribute = condition.attribute();
		if (attribute == null) {
			return row == null;
		}
		return row != null && Objects.equals(row.attributes().get(attribute), condition.expected());
	}

}
