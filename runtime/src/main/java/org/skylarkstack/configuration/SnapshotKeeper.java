package org.skylarkstack.configuration;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;

import org.skylarkstack.membership.Membership;
import org.skylarkstack.store.ObjectStore;
import org.skylarkstack.store.StoreException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the configuration snapshot at start-up, and writes it periodically while this
 * daemon is its soft owner according to the membership view. When two daemons both regard
 * themselves as the owner, an older snapshot may replace a newer one; a starting daemon
 * then reads more tickets.
 */
public final class SnapshotKeeper {

	private static final Logger LOG = LoggerFactory.getLogger(SnapshotKeeper.class);

	/** Key of the snapshot in the object store. */
	static final String OBJECT_KEY = "configuration/snapshot.json.gz";

	/**
	 * Number of new tickets from which a snapshot is written without waiting for the
	 * write period.
	 */
	static final long MIN_NEW_TICKETS = 200;

	/** Time after which a snapshot is written for any smaller number of new tickets. */
	static final long WRITE_PERIOD_NANOS = Duration.ofHours(1).toNanos();

	/** Time between a failed write and the next attempt. */
	static final long RETRY_DELAY_NANOS = Duration.ofMinutes(1).toNanos();

	private final SnapshotCodec codec = new SnapshotCodec();

	private final ObjectStore store;

	private final ConfigurationHolder configuration;

	private final Membership membership;

	private long writtenNumber;

	private long nextWriteNanos;

	private long earliestWriteNanos;

	private boolean started;

	/**
	 * Creates a reader and writer of snapshots.
	 * @param store the platform's object store
	 * @param configuration holds the current configuration
	 * @param membership determines the soft owner
	 */
	public SnapshotKeeper(ObjectStore store, ConfigurationHolder configuration, Membership membership) {
		this.store = store;
		this.configuration = configuration;
		this.membership = membership;
	}

	/**
	 * Reads the snapshot. A damaged snapshot is ignored, because the tickets hold the
	 * full configuration.
	 * @return the configuration, if there is a readable snapshot
	 * @throws StoreException if the store does not respond
	 */
	public synchronized Optional<Configuration> read() {
		try {
			Optional<byte[]> bytes = this.store.get(OBJECT_KEY);
			if (bytes.isEmpty()) {
				return Optional.empty();
			}
			Configuration snapshot = this.codec.read(bytes.get());
			this.writtenNumber = snapshot.appliedNumber();
			return Optional.of(snapshot);
		}
		catch (IOException ex) {
			LOG.atWarn().addKeyValue("event", "snapshot_damaged").addKeyValue("reason", ex.getClass()).log();
			return Optional.empty();
		}
	}

	/**
	 * Writes a snapshot if this daemon is the soft owner and a write is due.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return whether a snapshot was written
	 */
	public synchronized boolean step(long nowNanos) {
		Configuration current = this.configuration.current();
		if (!this.started) {
			this.started = true;
			this.nextWriteNanos = nowNanos + WRITE_PERIOD_NANOS;
			this.earliestWriteNanos = nowNanos;
		}
		long unwritten = current.appliedNumber() - this.writtenNumber;
		boolean due = unwritten >= MIN_NEW_TICKETS || (unwritten > 0 && nowNanos - this.nextWriteNanos >= 0);
		if (!due || nowNanos - this.earliestWriteNanos < 0 || !isSoftOwner()) {
			return false;
		}
		try {
			this.store.put(OBJECT_KEY, this.codec.write(current));
			this.writtenNumber = current.appliedNumber();
			this.nextWriteNanos = nowNanos + WRITE_PERIOD_NANOS;
			return true;
		}
		catch (StoreException ex) {
			LOG.atWarn().addKeyValue("event", "snapshot_write_failed").addKeyValue("reason", ex.getMessage()).log();
			// Counts one ticket as unwritten, so that the next attempt is due after
			// the retry delay and not in each step of an outage.
			this.writtenNumber = current.appliedNumber() - 1;
			this.nextWriteNanos = nowNanos + RETRY_DELAY_NANOS;
			return false;
		}
	}

	private boolean isSoftOwner() {
		var view = this.membership.view();
		return view.softOwner(OBJECT_KEY).equals(view.self());
	}

}
