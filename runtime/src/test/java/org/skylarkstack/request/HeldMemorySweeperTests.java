package org.skylarkstack.request;

import org.junit.jupiter.api.Test;
import org.skylarkstack.engine.HeldRequest;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against memory that stays held for dead VMs, and against freeing the memory of
 * VMs that are merely cut off from this one.
 */
class HeldMemorySweeperTests {

	private static final DeadIncarnations DEAD = (vm, incarnation) -> "dc-1.vm".equals(vm) && incarnation == -2;

	private static boolean abandoned(String owner, long idleMillis) {
		return HeldMemorySweeper.isAbandoned(new HeldRequest("id", owner, "decode", 1, idleMillis), DEAD);
	}

	@Test
	void bothConditionsAreRequired() {
		assertThat(abandoned("dc-1.vm.fffffffffffffffe", 10_000)).isTrue();
		assertThat(abandoned("dc-1.vm.fffffffffffffffe", 9_999)).isFalse();
		assertThat(abandoned("dc-1.vm.1", 10_000)).isFalse();
	}

	@Test
	void requestsOfUnknownOwnersAreNotCancelled() {
		assertThat(abandoned("", 10_000)).isFalse();
		assertThat(abandoned("dc-1.vm.xyz", 10_000)).isFalse();
	}

	@Test
	void sweepCancelsOnTheEngine() {
		RequestFixture fixture = new RequestFixture();
		fixture.engines.holds.add("d1 vm-9.1.1.1");
		fixture.engines.idleMillis = 10_000;
		new HeldMemorySweeper(fixture.engines, fixture.configuration,
				RequestFixture.membership("vm-0", java.util.List.of("vm-0")), (vm, incarnation) -> true,
				fixture.canceller)
			.sweep();
		fixture.assertAllReleased();
		fixture.canceller.close();
	}

}
