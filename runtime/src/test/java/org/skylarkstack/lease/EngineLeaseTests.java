package org.skylarkstack.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.random.RandomGenerator;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.skylarkstack.store.Row;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Tests of {@link EngineLease}.
 */
class EngineLeaseTests {

	private static final long SECOND = 1_000_000_000L;

	private static final long MILLISECOND = 1_000_000L;

	/**
	 * Guards against a holder that sends orders after a pause that ends within the safety
	 * margin of its lease or later.
	 */
	@Test
	void pausedHolderGetsNoPermit() {
		EngineLease lease = new EngineLease(new FaultyTableStore(new Random(1), 0), "e", "vm1.1", true);
		lease.step(true, 0, 0);
		assertThat(lease.permit(11 * SECOND)).isPresent();
		assertThat(lease.permit(12 * SECOND)).isEmpty();
	}

	/**
	 * Guards against a successor that sends orders while an order of the former holder is
	 * still valid on an engine that ignores fencing numbers.
	 */
	@Test
	void successorWaitsForLeaseAndOrders() {
		FaultyTableStore store = new FaultyTableStore(new Random(1), 0);
		EngineLease first = new EngineLease(store, "e", "vm1.1", false);
		EngineLease second = new EngineLease(store, "e", "vm2.1", false);
		first.step(true, 0, 0);
		for (long now = 0; now < 15; now++) {
			second.step(true, now * SECOND, 0);
			assertThat(second.permit(now * SECOND)).isEmpty();
		}
		second.step(true, 15 * SECOND, 0);
		assertThat(second.permit(24 * SECOND)).isEmpty();
		second.step(true, 24 * SECOND, 0);
		assertThat(second.permit(25 * SECOND).map(OrderPermit::fencingNumber)).isEqualTo(Optional.of(2L));
	}

	/**
	 * Guards against a VM that still gets permits after it has returned the lease, and
	 * against a successor that waits for a returned lease to expire.
	 */
	@Test
	void returnedLeaseIsTakenBeforeItExpires() {
		FaultyTableStore store = new FaultyTableStore(new Random(1), 0);
		EngineLease first = new EngineLease(store, "e", "vm1.1", true);
		EngineLease second = new EngineLease(store, "e", "vm2.1", true);
		first.step(true, 0, 0);
		first.step(false, SECOND, 0);
		assertThat(first.permit(SECOND)).isEmpty();
		second.step(true, SECOND, 0);
		assertThat(second.permit(SECOND).map(OrderPermit::fencingNumber)).isEqualTo(Optional.of(2L));
	}

	/**
	 * Guards against two holders at a time, decreasing fencing numbers and overlapping
	 * orders of two holders under pauses, lost replies and writes that take effect late.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8 })
	void oneHolderAtATime(long seed) {
		RandomGenerator random = new Random(seed);
		FaultyTableStore store = new FaultyTableStore(random, 25);
		List<EngineLease> leases = new ArrayList<>();
		for (int vm = 0; vm < 3; vm++) {
			leases.add(new EngineLease(store, "e", "vm" + vm, false));
		}
		long[] pausedUntil = new long[3];
		long lastFencingNumber = 0;
		long lastExpiry = 0;
		int permits = 0;
		for (long now = 0; now < 4_000 * SECOND; now += SECOND / 2) {
			int wanted = (int) (now / (90 * SECOND)) % 3;
			int permitted = 0;
			for (int vm = 0; vm < 3; vm++) {
				if (now >= pausedUntil[vm]) {
					leases.get(vm).step(vm == wanted || random.nextInt(20) == 0, now, now / MILLISECOND);
				}
				if (random.nextInt(100) == 0) {
					pausedUntil[vm] = now + random.nextLong(40 * SECOND);
				}
				Optional<OrderPermit> permit = leases.get(vm).permit(now);
				if (permit.isPresent()) {
					permits++;
					permitted++;
					long fencingNumber = permit.get().fencingNumber();
					assertWithMessage("seed %s: fence", seed).that(fencingNumber).isAtLeast(lastFencingNumber);
					if (fencingNumber > lastFencingNumber) {
						assertWithMessage("seed %s: orders overlap", seed).that(now).isAtLeast(lastExpiry);
					}
					lastFencingNumber = fencingNumber;
					lastExpiry = permit.get().expiresNanos();
				}
			}
			assertWithMessage("seed %s: holders", seed).that(permitted).isAtMost(1);
		}
		assertWithMessage("seed %s: permits", seed).that(permits).isGreaterThan(1_000);
	}

	/**
	 * Guards against a fencing number that is given out twice, or a lower one after a
	 * higher one, after the store was restored from an older copy.
	 */
	@Test
	void fencingNumberDoesNotGoBackWithTheStore() {
		FaultyTableStore store = new FaultyTableStore(new Random(1), 0);
		EngineLease first = new EngineLease(store, "e", "vm1.1", true);
		EngineLease second = new EngineLease(store, "e", "vm2.1", true);
		EngineLease third = new EngineLease(store, "e", "vm3.1", true);
		Map<String, Row> copy = store.copy();
		first.step(true, 0, 1_000);
		first.step(false, SECOND, 2_000);
		second.step(true, 2 * SECOND, 3_000);
		long before = second.permit(2 * SECOND).orElseThrow().fencingNumber();
		store.restore(copy);
		third.step(true, 3 * SECOND, 4_000);
		assertThat(third.permit(3 * SECOND).orElseThrow().fencingNumber()).isGreaterThan(before);
		second.step(true, 7 * SECOND, 8_000);
		assertThat(second.permit(7 * SECOND)).isEmpty();
	}

	/**
	 * Guards against orders of two holders on an engine that ignores fencing numbers,
	 * after the store was restored from a copy in which the lease is free.
	 */
	@Test
	void successorWaitsForAHolderThatTheStoreHasLost() {
		FaultyTableStore store = new FaultyTableStore(new Random(1), 0);
		EngineLease first = new EngineLease(store, "e", "vm1.1", false);
		EngineLease second = new EngineLease(store, "e", "vm2.1", false);
		Map<String, Row> copy = store.copy();
		first.step(true, 0, 0);
		for (long now = 0; now <= 25; now += 5) {
			first.step(true, now * SECOND, 0);
		}
		store.restore(copy);
		second.step(true, 25 * SECOND, 0);
		// The first holder cannot reach the store and permits orders until its lease
		// ends.
		long lastOrder = 0;
		for (long now = 25 * SECOND; now < 40 * SECOND; now += SECOND / 2) {
			lastOrder = first.permit(now).map(OrderPermit::expiresNanos).orElse(lastOrder);
		}
		assertThat(lastOrder).isGreaterThan(40 * SECOND);
		for (long now = 25 * SECOND; now < 60 * SECOND; now += SECOND / 2) {
			second.step(true, now, 0);
			assertThat(second.permit(now).isPresent() && now < lastOrder).isFalse();
		}
		assertThat(second.permit(60 * SECOND)).isPresent();
	}

}
