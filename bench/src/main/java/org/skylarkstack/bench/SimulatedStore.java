package org.skylarkstack.bench;

import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

import org.skylarkstack.store.Row;
import org.skylarkstack.store.RowCondition;
import org.skylarkstack.store.RowWrite;
import org.skylarkstack.store.StoreException;
import org.skylarkstack.store.TableStore;
import org.skylarkstack.store.WriteEffect;

/**
 * In-memory table store that simulates outages, lost requests, lost responses and writes
 * that are applied late.
 */
final class SimulatedStore implements TableStore {

	private static final long MAX_APPLY_DELAY_NANOS = 8_000_000_000L;

	private final TreeMap<String, Row> rows = new TreeMap<>();

	private final EventQueue events;

	private final RandomGenerator random;

	private final double faultProbability;

	private boolean down;

	SimulatedStore(EventQueue events, RandomGenerator random, double faultProbability) {
		this.events = events;
		this.random = random;
		this.faultProbability = faultProbability;
	}

	void setDown(boolean down) {
		this.down = down;
	}

	@Override
	public Optional<Row> get(String partition, String sort) {
		failAtRandom();
		return Optional.ofNullable(this.rows.get(key(partition, sort)));
	}

	@Override
	public List<Row> query(String partition, String afterSort, int limit) {
		failAtRandom();
		return this.rows.values()
			.stream()
			.filter((row) -> row.partition().equals(partition) && row.sort().compareTo(afterSort) > 0)
			.limit(limit)
			.toList();
	}

	private void failAtRandom() {
		if (this.down || this.random.nextDouble() < this.faultProbability) {
			throw new StoreException(WriteEffect.NOT_APPLIED, "read request lost", new IllegalStateException());
		}
	}

	@Override
	public boolean write(List<RowWrite> writes) {
		if (this.down || this.random.nextDouble() < this.faultProbability) {
			int fault = this.random.nextInt(3);
			if (fault == 0 && !this.down) {
				apply(writes);
			}
			else if (fault == 1) {
				this.events.after(this.random.nextLong(MAX_APPLY_DELAY_NANOS), () -> apply(writes));
			}
			throw new StoreException(WriteEffect.UNKNOWN, "write response lost", new IllegalStateException());
		}
		return apply(writes);
	}

	private boolean apply(List<RowWrite> writes) {
		for (RowWrite write : writes) {
			RowCondition condition = write.condition();
			Row existing = this.rows.get(key(write.row().partition(), write.row().sort()));
			if (condition != null && condition.attribute() == null && existing != null) {
				return false;
			}
			if (condition != null && condition.attribute() != null
					&& (existing == null || !String.valueOf(condition.expected())
						.equals(existing.attributes().get(condition.attribute())))) {
				return false;
			}
		}
		writes.forEach((write) -> this.rows.put(key(write.row().partition(), write.row().sort()), write.row()));
		return true;
	}

	private static String key(String partition, String sort) {
		return partition + '\0' + sort;
	}

}
