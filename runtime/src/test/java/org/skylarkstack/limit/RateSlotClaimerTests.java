package org.skylarkstack.limit;

import java.util.Map;
import java.util.Random;

import org.junit.jupiter.api.Test;
import org.skylarkstack.store.Row;
import org.skylarkstack.store.StoreException;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a rate slot with two holders, or one that is used while loans of its
 * former holder still run, after lost replies, restarts, pauses and outages of the store.
 */
class RateSlotClaimerTests {

	private static final long SECOND = 1_000_000_000L;

	private static final LendingTerms TERMS = LendingTerms.forPeriod(SECOND);

	private static final long LOAN_TERM_NANOS = TERMS.withDriftAllowance(TERMS.loanTermNanos());

	private final FaultySlotStore store = new FaultySlotStore();

	private RateSlotClaimer claimer(String vmId, long incarnation, long nowNanos) {
		return new RateSlotClaimer(this.store, vmId, incarnation, 1, TERMS, new Random(1), nowNanos);
	}

	private static void step(RateSlotClaimer claimer, long nowNanos) {
		try {
			claimer.step(nowNanos);
		}
		catch (StoreException ex) {
			assertThat(ex.effect()).isNotNull();
		}
	}

	/** Guards against waiting for loans to end although the slot never had a holder. */
	@Test
	void slotWithoutARowIsUsableImmediately() {
		RateSlotClaimer claimer = claimer("a", 1, 0);
		step(claimer, SECOND);
		assertThat(claimer.lease()).hasValue(new RateSlotLease(0, SECOND, SECOND + TERMS.slotLeaseNanos()));
	}

	/**
	 * Guards against a lease that is counted from a later write than the one that was
	 * applied, after the reply to a claim or renewal is lost.
	 */
	@Test
	void lostRepliesAreResolvedByReadingTheRow() {
		RateSlotClaimer claimer = claimer("a", 1, 0);
		this.store.loseReply = true;
		step(claimer, SECOND);
		assertThat(claimer.lease()).isEmpty();
		step(claimer, 3 * SECOND);
		assertThat(claimer.lease()).hasValue(new RateSlotLease(0, SECOND, SECOND + TERMS.slotLeaseNanos()));
		long renewal = 301 * SECOND;
		this.store.loseReply = true;
		step(claimer, renewal);
		assertThat(claimer.lease().orElseThrow().endNanos()).isEqualTo(SECOND + TERMS.slotLeaseNanos());
		step(claimer, renewal + 3 * SECOND);
		assertThat(claimer.lease().orElseThrow().endNanos()).isEqualTo(renewal + TERMS.slotLeaseNanos());
	}

	/**
	 * Guards against a restarted daemon that uses slices which the former process lent
	 * and whose loans still run.
	 */
	@Test
	void newIncarnationTakesItsSlotBackAndWaitsForLoans() {
		step(claimer("a", 1, 0), SECOND);
		RateSlotClaimer second = claimer("a", 2, 10 * SECOND);
		step(second, 11 * SECOND);
		assertThat(second.lease().orElseThrow().usableFromNanos()).isEqualTo(10 * SECOND + LOAN_TERM_NANOS);
	}

	/**
	 * Guards against a VM that takes a slot from a paused holder before the holder's
	 * lease has expired.
	 */
	@Test
	void slotIsTakenOnlyAfterItsRowStaysUnchangedForALease() {
		RateSlotClaimer holder = claimer("a", 1, 0);
		step(holder, SECOND);
		RateSlotClaimer other = claimer("b", 2, 0);
		long lease = TERMS.withDriftAllowance(TERMS.slotLeaseNanos());
		step(other, 2 * SECOND);
		step(other, 4 * SECOND);
		step(other, 3 * SECOND + lease);
		assertThat(other.lease()).isEmpty();
		step(holder, 301 * SECOND);
		step(other, 4 * SECOND + lease);
		assertThat(other.lease()).isEmpty();
		step(other, 6 * SECOND + lease);
		step(other, 6 * SECOND + 2 * lease);
		assertThat(other.lease().orElseThrow().usableFromNanos()).isEqualTo(6 * SECOND + 2 * lease + LOAN_TERM_NANOS);
		step(holder, 301 * SECOND + TERMS.slotLeaseNanos());
		assertThat(holder.lease()).isEmpty();
	}

	/** Guards against a VM that uses a returned slot while its loans still run. */
	@Test
	void returnedSlotIsUsableAfterALoanTerm() {
		RateSlotClaimer holder = claimer("a", 1, 0);
		step(holder, SECOND);
		holder.release();
		RateSlotClaimer other = claimer("b", 2, 0);
		step(other, 20 * SECOND);
		assertThat(other.lease().orElseThrow().usableFromNanos()).isEqualTo(20 * SECOND + LOAN_TERM_NANOS);
	}

	/**
	 * Guards against a holder that keeps using its slot after the lease has expired
	 * during an outage of the store.
	 */
	@Test
	void leaseRunsOutDuringAnOutage() {
		RateSlotClaimer claimer = claimer("a", 1, 0);
		step(claimer, SECOND);
		this.store.down = true;
		step(claimer, 301 * SECOND);
		assertThat(claimer.lease().orElseThrow().isUsable(301 * SECOND)).isTrue();
		step(claimer, SECOND + TERMS.slotLeaseNanos());
		assertThat(claimer.lease()).isEmpty();
		this.store.down = false;
		step(claimer, 10 * SECOND + TERMS.slotLeaseNanos());
		assertThat(claimer.lease().orElseThrow().isUsable(10 * SECOND + TERMS.slotLeaseNanos())).isTrue();
	}

	/** Steps a claimer whenever it is due, up to a time. */
	private static void run(RateSlotClaimer claimer, long fromNanos, long toNanos) {
		for (long now = fromNanos; now <= toNanos; now += SECOND / 10) {
			if (now - claimer.nextStepNanos() >= 0) {
				step(claimer, now);
			}
		}
	}

	/**
	 * Guards against a holder that does not notice for minutes that the store has lost
	 * its claim, while another VM claims the slot.
	 */
	@Test
	void claimLostByTheStoreIsWrittenAgain() {
		Map<String, Row> copy = this.store.copy();
		RateSlotClaimer holder = claimer("a", 1, 0);
		step(holder, SECOND);
		this.store.restore(copy);
		run(holder, 2 * SECOND, 7 * SECOND);
		assertThat(holder.lostClaims()).isEqualTo(1);
		RateSlotClaimer other = claimer("b", 2, 7 * SECOND);
		run(other, 7 * SECOND, 20 * SECOND);
		assertThat(other.lease()).isEmpty();
		assertThat(holder.lease().orElseThrow().isUsable(20 * SECOND)).isTrue();
		run(holder, 7 * SECOND, 400 * SECOND);
		assertThat(holder.lease().orElseThrow().endNanos()).isAtLeast(300 * SECOND + TERMS.slotLeaseNanos());
		assertThat(holder.lostClaims()).isEqualTo(1);
	}

	/** Guards against two VMs that use one slot until the next renewal. */
	@Test
	void slotClaimedByAnotherVmAfterARestoreIsDropped() {
		RateSlotClaimer first = claimer("z", 9, 0);
		step(first, SECOND);
		first.release();
		Map<String, Row> copy = this.store.copy();
		RateSlotClaimer holder = claimer("a", 1, 2 * SECOND);
		step(holder, 3 * SECOND);
		this.store.restore(copy);
		RateSlotClaimer other = claimer("b", 2, 4 * SECOND);
		step(other, 4 * SECOND);
		long usable = other.lease().orElseThrow().usableFromNanos();
		run(holder, 4 * SECOND, usable);
		assertThat(holder.lease()).isEmpty();
		assertThat(holder.lostClaims()).isEqualTo(1);
		run(other, 4 * SECOND, 60 * SECOND);
		assertThat(other.lease().orElseThrow().isUsable(60 * SECOND)).isTrue();
	}

	/** Guards against a restored renewal that ends the lease of its holder. */
	@Test
	void restoredRenewalKeepsTheSlot() {
		RateSlotClaimer holder = claimer("a", 1, 0);
		step(holder, SECOND);
		Map<String, Row> copy = this.store.copy();
		run(holder, SECOND, 302 * SECOND);
		this.store.restore(copy);
		run(holder, 303 * SECOND, 310 * SECOND);
		assertThat(holder.lease().orElseThrow().endNanos()).isAtLeast(303 * SECOND + TERMS.slotLeaseNanos());
		assertThat(holder.lostClaims()).isEqualTo(1);
	}

	/** Guards against two VMs that use one slot right after a restore. */
	@Test
	void slotHasOneHolderRightAfterARestore() {
		Map<String, Row> copy = this.store.copy();
		RateSlotClaimer holder = claimer("a", 1, 0);
		step(holder, SECOND);
		this.store.restore(copy);
		RateSlotClaimer other = claimer("b", 2, 2 * SECOND);
		for (long now = 2 * SECOND; now <= 30 * SECOND; now += SECOND / 10) {
			run(other, now, now);
			run(holder, now, now);
			boolean held = isUsable(holder, now);
			assertThat(held && isUsable(other, now)).isFalse();
		}
	}

	private static boolean isUsable(RateSlotClaimer claimer, long nowNanos) {
		return claimer.lease().filter((lease) -> lease.isUsable(nowNanos)).isPresent();
	}

}
