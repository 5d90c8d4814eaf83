package org.skylarkstack.request;

import java.util.List;
import java.util.function.Predicate;

import org.skylarkstack.store.Row;
import org.skylarkstack.store.RowCondition;
import org.skylarkstack.store.RowWrite;
import org.skylarkstack.store.StoreException;
import org.skylarkstack.store.TableStore;

/**
 * Deletes expired rows incrementally: each step reads one page of one partition. The
 * expiry is a wall-clock time because it has to outlive daemons. Rows are deleted one
 * hour after their expiry, so that the clocks of VMs may differ by up to one hour.
 */
public final class ExpiredRowCleaner {

	/** Attribute with the expiry in milliseconds since the epoch. */
	public static final String EXPIRES = "expires";

	private static final long CLOCK_MARGIN_MILLIS = 3_600_000;

	private static final int PAGE_ROWS = 25;

	private static final String ATTEMPT = "attempt";

	private final TableStore store;

	private final List<String> partitions;

	private int partitionIndex;

	private String afterSort = "";

	/**
	 * Creates a cleaner.
	 * @param store the platform's table
	 * @param partitions the partitions to clean, visited in turn
	 */
	public ExpiredRowCleaner(TableStore store, List<String> partitions) {
		this.store = store;
		this.partitions = List.copyOf(partitions);
	}

	static boolean isExpired(Row row, long epochMillis) {
		return Long.parseLong(row.attributes().getOrDefault(EXPIRES, "0")) <= epochMillis;
	}

	/**
	 * Deletes the expired rows of one page of the next partition that this VM is
	 * responsible for.
	 * @param owned returns whether this VM is responsible for a partition
	 * @param epochMillis the wall-clock time in milliseconds since the epoch
	 * @return the number of deleted rows; 0 if the page could not be read
	 */
	public int step(Predicate<String> owned, long epochMillis) {
		String name = nextOwned(owned);
		if (name.isEmpty()) {
			return 0;
		}
		try {
			List<Row> page = this.store.query(name, this.afterSort, PAGE_ROWS);
			if (page.size() < PAGE_ROWS) {
				nextPartition();
			}
			else {
				this.afterSort = page.get(page.size() - 1).sort();
			}
			return delete(page, epochMillis);
		}
		catch (StoreException ex) {
			return 0;
		}
	}

	private String nextOwned(Predicate<String> owned) {
		for (int tries = 0; tries < this.partitions.size(); tries++) {
			String name = this.partitions.get(this.partitionIndex);
			if (owned.test(name)) {
				return name;
			}
			nextPartition();
		}
		return "";
	}

	private int delete(List<Row> page, long epochMillis) {
		int deleted = 0;
		for (Row row : page) {
			if (isExpired(row, epochMillis - CLOCK_MARGIN_MILLIS)) {
				RowCondition unchanged = RowCondition.attributeEquals(ATTEMPT,
						row.attributes().getOrDefault(ATTEMPT, ""));
				deleted += this.store.write(List.of(RowWrite.delete(row, unchanged))) ? 1 : 0;
			}
		}
		return deleted;
	}

	private void nextPartition() {
		this.partitionIndex = (this.partitionIndex + 1) % this.partitions.size();
		this.afterSort = "";
	}

}
