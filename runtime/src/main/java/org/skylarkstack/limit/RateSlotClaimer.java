package org.skylarkstack.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.store.Row;
import org.skylarkstack.store.RowCondition;
import org.skylarkstack.store.RowWrite;
import org.skylarkstack.store.StoreException;
import org.skylarkstack.store.TableStore;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Claims and renews one rate slot for this VM.
 *
 * <p>
 * Invariant: at any moment at most one VM regards a slot as its own. Each slot is a row
 * whose version changes with each write, and each write is conditional on the version
 * read before.
 * <ul>
 * <li>The holder counts its lease from before it sent the last write that it has
 * confirmed as applied. Another VM takes the slot only after it has read the same version
 * for one lease with drift allowance, counted from the step after the one that first read
 * it. The holder therefore stops first, even if it was paused.</li>
 * <li>A write whose effect is unknown may still be applied later. The VM resolves it by
 * reading the row. If the row carries the version of one of this VM's attempts, the lease
 * begins at the start of that attempt. If the row is unchanged, the next attempt is
 * conditional on the same version, so that only one of the attempts can be applied.</li>
 * <li>A new incarnation takes its VM's slot back immediately: it has bound the peer port,
 * so the former process has ended. The loans of the former process, whose longest term is
 * in the row, run from before this start; the slot is usable when they have ended.</li>
 * <li>A slot that was returned, or whose lease has expired, is usable one loan term with
 * drift allowance after the claim. A slot without a row was never held and is usable
 * immediately.</li>
 * <li>The platform may restore the store from a copy that is some seconds old. The holder
 * therefore reads its row every {@link #CHECK_NANOS}. If the row is again as before one
 * of the holder's own writes, nobody has claimed the slot since, and the holder writes it
 * again. If another VM has written the row, the holder drops the slot. Between that VM's
 * claim and the check, two VMs regard the slot as their own.</li>
 * </ul>
 * Steps block on the store. Not thread-safe.
 */
public final class RateSlotClaimer {

	private static final Logger LOG = LoggerFactory.getLogger(RateSlotClaimer.class);

	static final String PARTITION = "rate-slots";

	/** Time between two reads of the row of the held slot. */
	static final long CHECK_NANOS = 5_000_000_000L;

	/** Number of versions before the present one that the holder remembers. */
	private static final int EARLIER_VERSIONS = 8;

	private static final String HOLDER = "holder";

	private static final String INCARNATION = "incarnation";

	private static final String VERSION = "version";

	private static final String LOAN_NANOS = "loanNanos";

	private static final String NONE = "";

	private final TableStore store;

	private final String vmId;

	private final String incarnation;

	private final int slotCount;

	private final LendingTerms terms;

	private final RandomGenerator random;

	private final long startNanos;

	private final Map<Integer, ObservedVersion> observedVersions = new HashMap<>();

	private final Map<String, WriteAttempt> attempts = new HashMap<>();

	/** Versions of the held slot's row before the present one, oldest first. */
	private final Deque<String> earlierVersions = new ArrayDeque<>();

	private long sequence;

	private @Nullable RateSlotLease lease;

	private @Nullable RateSlotLease lastHeld;

	private @Nullable String version;

	private boolean renewalUnconfirmed;

	private long renewalDueNanos;

	private long nextStepNanos;

	private final AtomicLong lostClaims = new AtomicLong();

	/**
	 * Creates a claimer that holds no slot.
	 * @param store holds the rows of the slots
	 * @param vmId the identifier of this VM
	 * @param incarnation the random number that identifies this start of the daemon
	 * @param slotCount the number of slots of the fleet
	 * @param terms the terms of leases and loans
	 * @param random the source of the jitter between steps and of the first slot to try
	 * @param nowNanos the monotonic time of this start in nanoseconds
	 */
	public RateSlotClaimer(TableStore store, String vmId, long incarnation, int slotCount, LendingTerms terms,
			RandomGenerator random, long nowNanos) {
		this.store = store;
		this.vmId = vmId;
		this.incarnation = Long.toHexString(incarnation);
		this.slotCount = slotCount;
		this.terms = terms;
		this.random = random;
		this.startNanos = nowNanos;
		this.nextStepNanos = nowNanos;
	}

	/**
	 * Returns the slot that this VM holds, as of the last step.
	 * @return the slot; the caller must check at each use that it is usable
	 */
	public Optional<RateSlotLease> lease() {
		return Optional.ofNullable(this.lease);
	}

	/**
	 * Returns when the next step is due.
	 * @return the monotonic time in nanoseconds
	 */
	public long nextStepNanos() {
		return this.nextStepNanos;
	}

	/**
	 * Claims a slot, renews the held one or observes the slots of other VMs, and sets the
	 * time of the next step.
	 * @param nowNanos the monotonic time in nanoseconds, read before the step
	 * @throws StoreException if the store does not respond; the next step reads whether
	 * an unconfirmed write was applied
	 */
	public void step(long nowNanos) {
		long retry = this.terms.slotRetryNanos();
		this.nextStepNanos = nowNanos + retry / 2 + this.random.nextLong(retry / 2 + 1);
		RateSlotLease held = this.lease;
		if (held != null && nowNanos - held.endNanos() >= 0) {
			this.lease = null;
			this.version = null;
			held = null;
		}
		if (held == null) {
			claim(nowNanos);
		}
		else if (this.renewalUnconfirmed) {
			if (resolveRenewal(held, nowNanos)) {
				renew(held, nowNanos);
			}
		}
		else if (nowNanos - this.renewalDueNanos >= 0 || !isRecorded(held)) {
			renew(held, nowNanos);
		}
		else if (this.lease != null) {
			scheduleCheck(nowNanos);
		}
	}

	private void scheduleCheck(long nowNanos) {
		long untilRenewal = this.renewalDueNanos - nowNanos;
		this.nextStepNanos = nowNanos + Math.min(CHECK_NANOS, untilRenewal);
	}

	private void renew(RateSlotLease held, long nowNanos) {
		String current = this.version;
		if (current == null) {
			return;
		}
		this.renewalUnconfirmed = true;
		String next = recordAttempt(held.slot(), held.usableFromNanos(), current, nowNanos);
		boolean applied = write(held.slot(), this.vmId, next, unchangedSince(current));
		if (applied) {
			adopt(next, nowNanos);
		}
	}

	private static RowCondition unchangedSince(String version) {
		return version.equals(NONE) ? RowCondition.ABSENT : RowCondition.attributeEquals(VERSION, version);
	}

	/**
	 * Reads whether the row still carries the version that this VM wrote last.
	 * @param held the slot
	 * @return {@code false} if the slot has to be written again now
	 */
	private boolean isRecorded(RateSlotLease held) {
		String stored = storedVersion(held.slot());
		if (stored.equals(this.version)) {
			return true;
		}
		if (!returnToEarlier(stored)) {
			drop(held, stored);
			return true;
		}
		return false;
	}

	private String storedVersion(int slot) {
		return this.store.get(PARTITION, sortKey(slot)).map((found) -> value(found, VERSION)).orElse(NONE);
	}

	/**
	 * Continues from an earlier version of the row, which the store was restored to.
	 * @param stored the version in the store, or an empty string if there is no row
	 * @return whether the row carried that version before one of this VM's writes
	 */
	private boolean returnToEarlier(String stored) {
		if (!this.earlierVersions.contains(stored)) {
			return false;
		}
		this.lostClaims.incrementAndGet();
		LOG.atError()
			.addKeyValue("event", "store_lost_rate_slot")
			.addKeyValue("written", this.version)
			.addKeyValue("stored", stored)
			.log();
		this.version = stored;
		return true;
	}

	private void drop(RateSlotLease held, String stored) {
		LOG.atWarn()
			.addKeyValue("event", "rate_slot_taken")
			.addKeyValue("slot", held.slot())
			.addKeyValue("written", this.version)
			.addKeyValue("stored", stored)
			.log();
		this.lostClaims.incrementAndGet();
		this.lease = null;
		this.version = null;
		this.attempts.clear();
		this.earlierVersions.clear();
	}

	/**
	 * Returns how often the store no longer held the last claim or renewal of this VM.
	 * @return the count since start
	 */
	public long lostClaims() {
		return this.lostClaims.get();
	}

	/**
	 * Reads the row to find out whether an unconfirmed renewal was applied. The lease is
	 * dropped if the row carries a version that this VM did not write.
	 * @param held the slot
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return whether the slot is still held and should be renewed now
	 */
	private boolean resolveRenewal(RateSlotLease held, long nowNanos) {
		String stored = storedVersion(held.slot());
		if (stored.equals(this.version)) {
			return true;
		}
		if (this.attempts.containsKey(stored)) {
			adopt(stored, nowNanos);
			return nowNanos - this.renewalDueNanos >= 0;
		}
		if (returnToEarlier(stored)) {
			return true;
		}
		drop(held, stored);
		return false;
	}

	private String recordAttempt(int slot, long usableFromNanos, String replaced, long nowNanos) {
		String name = "%s.%s.%d".formatted(this.vmId, this.incarnation, ++this.sequence);
		this.attempts.put(name, new WriteAttempt(slot, usableFromNanos, replaced, nowNanos));
		return name;
	}

	private void adopt(String applied, long nowNanos) {
		WriteAttempt attempt = this.attempts.get(applied);
		if (attempt != null) {
			remember(attempt);
			this.lease = new RateSlotLease(attempt.slot(), attempt.usableFromNanos(),
					attempt.startNanos() + this.terms.slotLeaseNanos());
			this.lastHeld = this.lease;
			this.version = applied;
			this.renewalUnconfirmed = false;
			this.renewalDueNanos = attempt.startNanos() + this.terms.slotRenewalNanos();
			scheduleCheck(nowNanos);
			this.attempts.clear();
			this.observedVersions.clear();
		}
	}

	private void remember(WriteAttempt attempt) {
		if (this.lease == null || this.lease.slot() != attempt.slot()) {
			this.earlierVersions.clear();
		}
		this.earlierVersions.remove(attempt.replaced());
		this.earlierVersions.add(attempt.replaced());
		if (this.earlierVersions.size() > EARLIER_VERSIONS) {
			this.earlierVersions.remove();
		}
	}

	private boolean write(int slot, String holder, String newVersion, RowCondition condition) {
		Row row = new Row(PARTITION, sortKey(slot), Map.of(HOLDER, holder, INCARNATION, this.incarnation, VERSION,
				newVersion, LOAN_NANOS, Long.toString(this.terms.loanTermNanos())));
		return this.store.write(List.of(RowWrite.put(row, condition)));
	}

	private void claim(long nowNanos) {
		boolean mayObserve = true;
		for (int tries = 0; tries < this.slotCount && !tryClaim(mayObserve, nowNanos); tries++) {
			mayObserve = false;
		}
	}

	/**
	 * Tries to claim one slot.
	 * @param mayObserve whether to record the versions read; {@code false} for a repeated
	 * read within one step, because a version counts as unchanged only from the start of
	 * a later step than the one that first read it
	 * @param nowNanos the monotonic time in nanoseconds, read before the step
	 * @return whether the step is over; {@code false} if another VM wrote the row first
	 */
	private boolean tryClaim(boolean mayObserve, long nowNanos) {
		List<Row> rows = this.store.query(PARTITION, "", this.slotCount);
		Map<Integer, Row> bySlot = new HashMap<>();
		rows.forEach((row) -> bySlot.put(Integer.parseInt(row.sort()), row));
		for (Row row : rows) {
			String storedVersion = value(row, VERSION);
			if (this.attempts.containsKey(storedVersion)) {
				adopt(storedVersion, nowNanos);
				return true;
			}
		}
		if (mayObserve) {
			observe(bySlot, nowNanos);
		}
		Optional<Candidate> candidate = chooseCandidate(bySlot, nowNanos);
		if (candidate.isEmpty()) {
			return true;
		}
		Candidate chosen = candidate.get();
		String next = recordAttempt(chosen.slot(), chosen.usableFromNanos(), chosen.version(), nowNanos);
		if (write(chosen.slot(), this.vmId, next, unchangedSince(chosen.version()))) {
			adopt(next, nowNanos);
			return true;
		}
		this.attempts.remove(next);
		return false;
	}

	private void observe(Map<Integer, Row> bySlot, long nowNanos) {
		for (Map.Entry<Integer, Row> entry : bySlot.entrySet()) {
			String storedVersion = value(entry.getValue(), VERSION);
			ObservedVersion former = this.observedVersions.get(entry.getKey());
			if (former == null || !former.version().equals(storedVersion)) {
				this.observedVersions.put(entry.getKey(), new ObservedVersion(storedVersion, null));
			}
			else if (former.sinceNanos() == null) {
				this.observedVersions.put(entry.getKey(), new ObservedVersion(storedVersion, nowNanos));
			}
		}
	}

	private Optional<Candidate> chooseCandidate(Map<Integer, Row> bySlot, long nowNanos) {
		for (Map.Entry<Integer, Row> entry : bySlot.entrySet()) {
			if (value(entry.getValue(), HOLDER).equals(this.vmId) && entry.getKey() < this.slotCount) {
				return Optional.of(ownSlot(entry.getKey(), entry.getValue(), nowNanos));
			}
		}
		// An attempt whose effect is unknown is repeated only on the same slot, so that
		// this VM never claims two slots.
		Optional<Integer> unsettled = this.attempts.values().stream().map(WriteAttempt::slot).findFirst();
		List<Candidate> free = new ArrayList<>();
		int first = this.random.nextInt(this.slotCount);
		for (int offset = 0; offset < this.slotCount; offset++) {
			int slot = (first + offset) % this.slotCount;
			Candidate candidate = freeSlot(slot, bySlot.get(slot), nowNanos);
			if (candidate != null && unsettled.map((only) -> only == slot).orElse(true)) {
				free.add(candidate);
			}
		}
		if (free.isEmpty()) {
			this.attempts.clear();
		}
		return free.stream().findFirst();
	}

	private Candidate ownSlot(int slot, Row row, long nowNanos) {
		boolean sameStart = value(row, INCARNATION).equals(this.incarnation);
		RateSlotLease own = this.lastHeld;
		long usableFrom = this.startNanos + formerLoanTermNanos(row);
		if (sameStart) {
			usableFrom = (own != null && own.slot() == slot) ? Math.max(nowNanos, own.usableFromNanos())
					: nowNanos + formerLoanTermNanos(row);
		}
		return new Candidate(slot, value(row, VERSION), usableFrom);
	}

	private @Nullable Candidate freeSlot(int slot, @Nullable Row row, long nowNanos) {
		if (row == null) {
			return new Candidate(slot, NONE, nowNanos);
		}
		ObservedVersion observed = this.observedVersions.get(slot);
		boolean returned = value(row, HOLDER).equals(NONE);
		Long since = (observed != null && observed.version().equals(value(row, VERSION))) ? observed.sinceNanos()
				: null;
		boolean expired = since != null
				&& nowNanos - since >= this.terms.withDriftAllowance(this.terms.slotLeaseNanos());
		if (!returned && !expired) {
			return null;
		}
		return new Candidate(slot, value(row, VERSION), nowNanos + formerLoanTermNanos(row));
	}

	private long formerLoanTermNanos(Row row) {
		return this.terms.withDriftAllowance(Long.parseLong(value(row, LOAN_NANOS)));
	}

	/**
	 * Returns the slot to the store. The caller must stop using and lending the slices
	 * before this call. The next holder waits until the loans that still run have ended.
	 * @throws StoreException if the store does not respond; other VMs can then take the
	 * slot only after its lease has expired
	 */
	public void release() {
		RateSlotLease held = this.lease;
		String current = this.version;
		this.lease = null;
		this.version = null;
		if (held != null && current != null) {
			write(held.slot(), NONE, "%s.%s.%d".formatted(this.vmId, this.incarnation, ++this.sequence),
					RowCondition.attributeEquals(VERSION, current));
		}
	}

	private static String sortKey(int slot) {
		return "%04d".formatted(slot);
	}

	private static String value(Row row, String attribute) {
		String value = row.attributes().get(attribute);
		if (value == null) {
			throw new IllegalStateException("row of rate slot %s has no attribute %s".formatted(row.sort(), attribute));
		}
		return value;
	}

	private record ObservedVersion(String version, @Nullable Long sinceNanos) {

	}

	private record WriteAttempt(int slot, long usableFromNanos, String replaced, long startNanos) {

	}

	private record Candidate(int slot, String version, long usableFromNanos) {

	}

}
