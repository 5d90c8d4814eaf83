package org.skylarkstack.lease;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.store.Row;
import org.skylarkstack.store.RowCondition;
import org.skylarkstack.store.RowWrite;
import org.skylarkstack.store.StoreException;
import org.skylarkstack.store.TableStore;

/**
 * Lease of the right to send orders to one engine.
 *
 * <p>
 * Invariants:
 * <ul>
 * <li>At any time at most one holder gets permits, provided that clocks drift apart by
 * less than the safety margin within a lease.</li>
 * <li>The fencing number grows with each change of holder. It is at least the wall-clock
 * time in milliseconds, so that it does not go back with the row when the platform
 * restores the store from an older copy, provided that wall clocks differ by less than
 * the time between the two changes.</li>
 * <li>An order to an engine that ignores fencing numbers is permitted only after all
 * orders of former holders have expired.</li>
 * </ul>
 *
 * <p>
 * The lease is a row in the store that carries the holder, the fencing number and a token
 * that each write changes. Each write is conditional on the token read last.
 *
 * <p>
 * Cases:
 * <ul>
 * <li>Holder: renews the lease after a third of its term. The lease counts from before
 * the write was sent. Permits are given until one safety margin before the end, which is
 * checked at each use, so that a holder that was paused finds its lease expired.</li>
 * <li>Lost reply: the row is read back. If it carries a token of this process, the lease
 * counts from before the write of that token was sent. A write that takes effect late
 * therefore only extends a lease that this process counts from its own earlier clock
 * reading.</li>
 * <li>Return: the process first drops the tokens of its writes. The write that returns
 * the lease may take effect late, so the lease is not resumed from its row; it is taken
 * again like the lease of another VM.</li>
 * <li>Successor: takes the lease if its row is absent or returned, or if the token has
 * stayed unchanged for a full lease term on the successor's own clock.</li>
 * <li>Restored store: a row that is absent or returned may hide a holder whose write was
 * lost. That holder stops when it reads the row, at the latest at the end of its lease.
 * Until then there are two holders with different fencing numbers; for engines that
 * ignore fencing numbers, the successor waits for the former lease to end.</li>
 * </ul>
 *
 * Not thread-safe. Calls that reach the store block.
 */
public final class EngineLease {

	/** Term of a lease. */
	public static final long LEASE_NANOS = 15_000_000_000L;

	/** Time before the end of the lease at which the holder stops using it. */
	public static final long SAFETY_MARGIN_NANOS = 3_000_000_000L;

	/** Longest time for which an order is valid. */
	public static final long ORDER_LIFETIME_NANOS = 10_000_000_000L;

	private static final long RENEWAL_INTERVAL_NANOS = LEASE_NANOS / 3;

	private static final String PARTITION = "engine-order-lease";

	private static final String HOLDER = "holder";

	private static final String FENCING_NUMBER = "fence";

	private static final String TOKEN = "token";

	private final TableStore store;

	private final String engineId;

	private final String holder;

	private final boolean checksFencing;

	/** Time at which each write of this process was sent, by the token of the write. */
	private final Map<String, Long> sentNanosByToken = new HashMap<>();

	private long writeCount;

	private @Nullable Row lastSeenRow;

	private long rowUnchangedSinceNanos;

	private boolean held;

	private long fencingNumber;

	/** Highest fencing number that this process has read or written. */
	private long highestFencingNumber;

	private boolean takenAfterExpiry;

	private long renewedNanos;

	private long ordersAllowedFromNanos;

	/**
	 * Creates a lease that is not held.
	 * @param store holds the row of the lease
	 * @param engineId the identifier of the engine
	 * @param holder the identifier of this VM and incarnation, unique for each start of a
	 * daemon
	 * @param checksFencing whether the engine refuses orders with an old fencing number
	 */
	public EngineLease(TableStore store, String engineId, String holder, boolean checksFencing) {
		this.store = store;
		this.engineId = engineId;
		this.holder = holder;
		this.checksFencing = checksFencing;
	}

	/**
	 * Takes, renews or returns the lease as needed. If the store fails, the lease is
	 * unchanged and the next step reads the row back.
	 * @param wanted whether this VM should hold the lease
	 * @param nowNanos the current time on this VM's clock in nanoseconds, read before the
	 * call
	 * @param epochMillis the wall-clock time in milliseconds since the epoch
	 */
	public void step(boolean wanted, long nowNanos, long epochMillis) {
		if (wanted && this.held && nowNanos - this.renewedNanos < RENEWAL_INTERVAL_NANOS) {
			return;
		}
		if (!wanted && !this.held) {
			return;
		}
		try {
			read(nowNanos);
			if (!wanted) {
				returnLease(nowNanos);
			}
			else if (this.held) {
				write(this.holder, this.fencingNumber, nowNanos);
			}
			else if (isReturned() || hasExpired(nowNanos)) {
				this.takenAfterExpiry = !isReturned();
				write(this.holder, Math.max(this.highestFencingNumber + 1, epochMillis), nowNanos);
			}
		}
		catch (StoreException ex) {
			expire(nowNanos);
		}
	}

	private void read(long nowNanos) {
		Row row = this.store.get(PARTITION, this.engineId).orElse(null);
		if (row == null || this.lastSeenRow == null || !token(row).equals(token(this.lastSeenRow))) {
			this.rowUnchangedSinceNanos = nowNanos;
		}
		this.lastSeenRow = row;
		if (row != null) {
			this.highestFencingNumber = Math.max(this.highestFencingNumber, fencingNumber(row));
		}
		if (row != null && this.sentNanosByToken.containsKey(token(row))
				&& this.holder.equals(row.attributes().get(HOLDER))) {
			confirm(row, nowNanos);
		}
		else {
			this.held = false;
		}
	}

	private void confirm(Row row, long nowNanos) {
		long sentNanos = this.sentNanosByToken.getOrDefault(token(row), 0L);
		long rowFencingNumber = fencingNumber(row);
		if (!this.held || rowFencingNumber != this.fencingNumber) {
			this.ordersAllowedFromNanos = nowNanos + (this.checksFencing ? 0 : formerOrdersNanos());
		}
		this.held = true;
		this.fencingNumber = rowFencingNumber;
		this.renewedNanos = sentNanos;
		expire(nowNanos);
	}

	// Drops a lease that has expired. It is taken again with a higher fencing number.
	private void expire(long nowNanos) {
		if (this.held && nowNanos - this.renewedNanos >= LEASE_NANOS - SAFETY_MARGIN_NANOS) {
			this.held = false;
		}
	}

	private long formerOrdersNanos() {
		return ORDER_LIFETIME_NANOS + (this.takenAfterExpiry ? 0 : LEASE_NANOS - SAFETY_MARGIN_NANOS);
	}

	private boolean isReturned() {
		Row row = this.lastSeenRow;
		return row == null || row.attributes().getOrDefault(HOLDER, "").isEmpty();
	}

	private boolean hasExpired(long nowNanos) {
		return nowNanos - this.rowUnchangedSinceNanos >= LEASE_NANOS;
	}

	private void returnLease(long nowNanos) {
		if (this.held) {
			long returnedFencingNumber = this.fencingNumber;
			this.held = false;
			this.sentNanosByToken.clear();
			write("", returnedFencingNumber, nowNanos);
		}
	}

	private void write(String newHolder, long newFencingNumber, long nowNanos) {
		String token = this.holder + '#' + ++this.writeCount;
		Row row = new Row(PARTITION, this.engineId,
				Map.of(HOLDER, newHolder, FENCING_NUMBER, Long.toString(newFencingNumber), TOKEN, token));
		RowCondition condition = (this.lastSeenRow != null)
				? RowCondition.attributeEquals(TOKEN, token(this.lastSeenRow)) : RowCondition.ABSENT;
		this.sentNanosByToken.values().removeIf((sentNanos) -> nowNanos - sentNanos >= LEASE_NANOS);
		this.sentNanosByToken.put(token, nowNanos);
		this.highestFencingNumber = Math.max(this.highestFencingNumber, newFencingNumber);
		boolean applied = this.store.write(List.of(RowWrite.put(row, condition)));
		if (applied) {
			this.lastSeenRow = row;
			this.rowUnchangedSinceNanos = nowNanos;
			if (!newHolder.isEmpty()) {
				confirm(row, nowNanos);
			}
		}
		else {
			this.held = false;
		}
	}

	private static String token(Row row) {
		return row.attributes().getOrDefault(TOKEN, "");
	}

	private static long fencingNumber(Row row) {
		return Long.parseLong(row.attributes().getOrDefault(FENCING_NUMBER, "0"));
	}

	/**
	 * Permits one order. To be called immediately before each order is sent.
	 * @param nowNanos the current time on this VM's clock in nanoseconds
	 * @return the permit, or empty if this VM does not hold the lease or a former
	 * holder's orders may still be valid
	 */
	public Optional<OrderPermit> permit(long nowNanos) {
		expire(nowNanos);
		if (!this.held || nowNanos < this.ordersAllowedFromNanos) {
			return Optional.empty();
		}
		return Optional.of(new OrderPermit(this.fencingNumber, nowNanos + ORDER_LIFETIME_NANOS));
	}

}
