package org.skylarkstack.gateway;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link RetryBudget}.
 */
class RetryBudgetTests {

	private static final long SECOND = 1_000_000_000L;

	private static final int DAEMONS = 7;

	private static int takeAll(RetryBudget budget, long now) {
		int taken = 0;
		while (budget.tryTake("service", now)) {
			taken++;
		}
		return taken;
	}

	/** Guards against daemons that each use the whole fixed budget of the fleet. */
	@Test
	void allDaemonsTogetherStayWithinTheBudget() {
		int taken = 0;
		for (int daemon = 0; daemon < DAEMONS; daemon++) {
			RetryBudget budget = new RetryBudget(0.2, 54, 10, () -> DAEMONS);
			for (int request = 0; request < 100; request++) {
				budget.recordRequest("service", SECOND);
			}
			taken += takeAll(budget, SECOND);
		}
		assertThat(taken).isAtMost((int) (0.2 * 100 * DAEMONS + 54));
		assertThat(taken).isAtLeast(DAEMONS);
	}

	/**
	 * Guards against a failing service that gets the budget twice within the length of a
	 * window, because used retries are discarded too early.
	 */
	@Test
	void anyWindowStaysWithinTheBudget() {
		RetryBudget budget = new RetryBudget(0, 54, 10, () -> 1);
		int first = takeAll(budget, SECOND);
		assertThat(takeAll(budget, 10 * SECOND)).isEqualTo(0);
		assertThat(takeAll(budget, 12 * SECOND)).isEqualTo(first);
	}

	/** Guards against a failing service that uses up the budget of another service. */
	@Test
	void servicesHaveBudgetsOfTheirOwn() {
		RetryBudget budget = new RetryBudget(0, 5, 10, () -> 1);
		takeAll(budget, SECOND);
		assertThat(budget.tryTake("other", SECOND)).isTrue();
	}

}
