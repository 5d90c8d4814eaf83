package org.skylarkstack.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.skylarkstack.store.Row;
import org.skylarkstack.store.RowCondition;
import org.skylarkstack.store.RowWrite;
import org.skylarkstack.store.StoreException;
import org.skylarkstack.store.TableStore;
import org.skylarkstack.store.WriteEffect;

/**
 * In-memory table that loses a percentage of the replies. A write whose reply is lost
 * takes effect immediately or during a later call, if its condition then holds.
 */
final class FaultyTableStore implements TableStore {

	private final Map<String, Row> rows = new HashMap<>();

	private final List<RowWrite> lateWrites = new ArrayList<>();

	private final RandomGenerator random;

	private final int faultPercent;

	FaultyTableStore(RandomGenerator random, int faultPercent) {
		this.random = random;
		this.faultPercent = faultPercent;
	}

	Map<String, Row> copy() {
		return Map.copyOf(this.rows);
	}

	/** Replaces all rows by those of an earlier copy. */
	void restore(Map<String, Row> copy) {
		this.rows.clear();
		this.rows.putAll(copy);
	}

	private void fail(WriteEffect effect) {
		throw new StoreException(effect, "the reply was lost", new IllegalStateException());
	}

	private boolean drawFault() {
		return this.random.nextInt(100) < this.faultPercent;
	}

	private void applyLate() {
		for (Iterator<RowWrite> writes = this.lateWrites.iterator(); writes.hasNext();) {
			RowWrite write = writes.next();
			if (this.random.nextBoolean()) {
				writes.remove();
				apply(write);
			}
		}
	}

	private boolean apply(RowWrite write) {
		Row row = this.rows.get(write.row().sort());
		RowCondition condition = write.condition();
		if (condition != null && condition.attribute() == null && row != null) {
			return false;
		}
		if (condition != null && condition.attribute() != null && (row == null
				|| !Objects.equals(row.attributes().get(condition.attribute()), condition.expected()))) {
			return false;
		}
		this.rows.put(write.row().sort(), write.row());
		return true;
	}

	@Override
	public Optional<Row> get(String partition, String sort) {
		applyLate();
		if (drawFault()) {
			fail(WriteEffect.NOT_APPLIED);
		}
		return Optional.ofNullable(this.rows.get(sort));
	}

	@Override
	public List<Row> query(String partition, String afterSort, int limit) {
		throw new UnsupportedOperationException("query is not supported because a lease reads single rows");
	}

	@Override
	public boolean write(List<RowWrite> writes) {
		applyLate();
		if (drawFault()) {
			if (this.random.nextBoolean()) {
				this.lateWrites.add(writes.get(0));
			}
			else {
				apply(writes.get(0));
			}
			fail(WriteEffect.UNKNOWN);
		}
		return apply(writes.get(0));
	}

}
