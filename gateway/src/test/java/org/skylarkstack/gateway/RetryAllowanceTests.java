package org.skylarkstack.gateway;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link RetryAllowance}.
 */
class RetryAllowanceTests {

	private static final long SECOND = 1_000_000_000L;

	private static final int DAEMONS = 7;

	private static int takeAll(RetryAllowance allowance, long now) {
		int taken = 0;
		while (allowance.tryTake("service", now)) {
			taken++;
		}
		return taken;
	}

	/** Guards against daemons that each use the whole fixed allowance of the fleet. */
	@Test
	void allDaemonsTogetherStayWithinTheAllowance() {
		int taken = 0;
		for (int daemon = 0; daemon < DAEMONS; daemon++) {
			RetryAllowance allowance = new RetryAllowance(0.2, 54, 10, () -> DAEMONS);
			for (int request = 0; request < 100; request++) {
				allowance.request("service", SECOND);
			}
			taken += takeAll(allowance, SECOND);
		}
		assertThat(taken).isAtMost((int) (0.2 * 100 * DAEMONS + 54));
		assertThat(taken).isAtLeast(DAEMONS);
	}

	/**
	 * Guards against a failing service that gets the allowance twice within the length of
	 * a window, because used retries are forgotten too early.
	 */
	@Test
	void anyWindowStaysWithinTheAllowance() {
		RetryAllowance allowance = new RetryAllowance(0, 54, 10, () -> 1);
		int first = takeAll(allowance, SECOND);
		assertThat(takeAll(allowance, 10 * SECOND)).isEqualTo(0);
		assertThat(takeAll(allowance, 12 * SECOND)).isEqualTo(first);
	}

	/** Guards against a failing service that uses up the allowance of another service. */
	@Test
	void servicesHaveAllowancesOfTheirOwn() {
		RetryAllowance allowance = new RetryAllowance(0, 5, 10, () -> 1);
		takeAll(allowance, SECOND);
		assertThat(allowance.tryTake("other", SECOND)).isTrue();
	}

}
