package org.skylarkstack.request;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import org.skylarkstack.store.Row;
import org.skylarkstack.store.RowCondition;
import org.skylarkstack.store.RowWrite;
import org.skylarkstack.store.StoreException;
import org.skylarkstack.store.TableStore;

/**
 * Grants the right to run a crash suspect one more time. A conditional write to the store
 * decides between VMs. While the store is down, only the VM that detected the crash may
 * run the request again, and only once; without that exception, an engine crash during a
 * store outage would end all requests that ran on the engine.
 */
public final class SuspectRunGrants {

	/** Partition of the rows in the platform's table. */
	public static final String PARTITION = "crash-suspect";

	private static final String ATTEMPT = "attempt";

	private static final int MAX_SEEN_CRASHES = 4_096;

	private final TableStore store;

	private final long retentionMillis;

	private final Cache<String, Boolean> seenLocally = Caffeine.newBuilder().maximumSize(MAX_SEEN_CRASHES).build();

	/**
	 * Creates an instance on a table.
	 * @param store the platform's table
	 * @param retentionMillis how long a request stays a suspect, in milliseconds
	 */
	public SuspectRunGrants(TableStore store, long retentionMillis) {
		this.store = store;
		this.retentionMillis = retentionMillis;
	}

	/**
	 * Records that this VM detected an engine crash during a request.
	 * @param fingerprint the hash of team, path and body
	 */
	public void recordCrash(String fingerprint) {
		this.seenLocally.put(fingerprint, true);
	}

	/**
	 * Acquires the right to run a suspect once more.
	 * @param fingerprint the hash of team, path and body
	 * @param attemptId the id of the attempt that is to run
	 * @param epochMillis the wall-clock time in milliseconds since the epoch
	 * @return whether the attempt may run
	 */
	public boolean tryAcquire(String fingerprint, String attemptId, long epochMillis) {
		boolean sawCrash = this.seenLocally.asMap().remove(fingerprint) != null;
		Row row = new Row(PARTITION, fingerprint, Map.of(ATTEMPT, attemptId, ExpiredRowCleaner.EXPIRES,
				Long.toString(epochMillis + this.retentionMillis)));
		try {
			if (this.store.write(List.of(RowWrite.put(row, RowCondition.ABSENT)))) {
				return true;
			}
			return replaceExpired(row, epochMillis);
		}
		catch (StoreException ex) {
			return sawCrash;
		}
	}

	private boolean replaceExpired(Row row, long epochMillis) {
		Optional<Row> previous = this.store.get(PARTITION, row.sort());
		if (previous.isEmpty() || !ExpiredRowCleaner.isExpired(previous.get(), epochMillis)) {
			return false;
		}
		String attempt = previous.get().attributes().getOrDefault(ATTEMPT, "");
		return this.store.write(List.of(RowWrite.put(row, RowCondition.attributeEquals(ATTEMPT, attempt))));
	}

	/**
	 * Releases the right because the request ran to its end.
	 * @param fingerprint the hash of team, path and body
	 * @param attemptId the id of the attempt that acquired the right
	 */
	public void release(String fingerprint, String attemptId) {
		this.seenLocally.invalidate(fingerprint);
		try {
			this.store.write(List.of(RowWrite.delete(new Row(PARTITION, fingerprint, Map.of()),
					RowCondition.attributeEquals(ATTEMPT, attemptId))));
		}
		catch (StoreException ex) {
			// The row is deleted after its expiry.
		}
	}

}
