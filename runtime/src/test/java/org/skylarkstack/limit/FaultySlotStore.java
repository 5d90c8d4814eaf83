package org.skylarkstack.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

import org.skylarkstack.store.Row;
import org.skylarkstack.store.RowCondition;
import org.skylarkstack.store.RowWrite;
import org.skylarkstack.store.StoreException;
import org.skylarkstack.store.TableStore;
import org.skylarkstack.store.WriteEffect;

/**
 * In-memory table that can lose the reply to a write, fail all calls or delay them.
 */
final class FaultySlotStore implements TableStore {

	private final TreeMap<String, Row> rows = new TreeMap<>();

	boolean loseReply;

	boolean down;

	volatile long delayMillis;

	@Override
	public Optional<Row> get(String partition, String sort) {
		delay();
		synchronized (this.rows) {
			failIf(this.down, WriteEffect.NOT_APPLIED);
			return Optional.ofNullable(this.rows.get(sort));
		}
	}

	@Override
	public List<Row> query(String partition, String afterSort, int limit) {
		delay();
		synchronized (this.rows) {
			failIf(this.down, WriteEffect.NOT_APPLIED);
			return new ArrayList<>(this.rows.values());
		}
	}

	@Override
	public boolean write(List<RowWrite> writes) {
		delay();
		synchronized (this.rows) {
			failIf(this.down, WriteEffect.UNKNOWN);
			RowWrite write = writes.get(0);
			Row present = this.rows.get(write.row().sort());
			RowCondition condition = Objects.requireNonNull(write.condition());
			boolean holds = (condition.attribute() == null) ? present == null : present != null
					&& Objects.equals(present.attributes().get(condition.attribute()), condition.expected());
			if (holds) {
				this.rows.put(write.row().sort(), write.row());
			}
			boolean lost = this.loseReply;
			this.loseReply = false;
			failIf(lost, WriteEffect.UNKNOWN);
			return holds;
		}
	}

	Map<String, Row> copy() {
		return Map.copyOf(this.rows);
	}

	/** Replaces all rows by those of an earlier copy. */
	void restore(Map<String, Row> copy) {
		this.rows.clear();
		this.rows.putAll(copy);
	}

	private void delay() {
		if (this.delayMillis > 0) {
			try {
				Thread.sleep(this.delayMillis);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
	}

	private static void failIf(boolean isFailing, WriteEffect effect) {
		if (isFailing) {
			throw new StoreException(effect, "no reply", new IllegalStateException());
		}
	}

}
