package org.skylarkstack.request;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against retries that multiply the load on failing backend servers.
 */
class RetryBudgetTests {

	private static final long SECOND = 1_000_000_000L;

	private int retries(RetryBudget budget, int tries, long nowNanos) {
		int allowed = 0;
		for (int index = 0; index < tries; index++) {
			allowed += budget.tryRetry(nowNanos) ? 1 : 0;
		}
		return allowed;
	}

	@Test
	void retriesStayWithinTheirShareOfTheWindow() {
		RetryBudget budget = new RetryBudget(-5 * SECOND);
		for (int index = 0; index < 200; index++) {
			budget.recordRequest(index * SECOND / 100);
		}
		assertThat(retries(budget, 100, 2 * SECOND)).isEqualTo(20);
		assertThat(retries(budget, 100, 9 * SECOND)).isEqualTo(0);
	}

	@Test
	void idleVmKeepsTheMinimumOfRetriesInEachWindow() {
		RetryBudget budget = new RetryBudget(0);
		assertThat(retries(budget, 10, 0)).isEqualTo(3);
		assertThat(retries(budget, 10, 9 * SECOND)).isEqualTo(0);
		assertThat(retries(budget, 10, 10 * SECOND)).isEqualTo(3);
		assertThat(retries(budget, 10, 500 * SECOND)).isEqualTo(3);
	}

}
