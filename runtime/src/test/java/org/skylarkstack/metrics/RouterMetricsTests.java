package org.skylarkstack.metrics;

import org.junit.jupiter.api.Test;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.schedule.RequestClass;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link RouterMetrics}.
 */
class RouterMetricsTests {

	/** Guards against a time series for each of 40,000 teams. */
	@Test
	void teamLabelsAreBounded() {
		RouterMetrics metrics = new RouterMetrics("dc-a");
		for (int team = 0; team < 1_000; team++) {
			metrics.request("model", RequestClass.INTERACTIVE, "team-" + team, RequestOutcome.ANSWERED);
		}
		long series = metrics.scrape()
			.lines()
			.filter((line) -> line.startsWith("skylark_team_requests_total{"))
			.count();
		assertThat(series).isEqualTo(51);
		assertThat(metrics.scrape()).contains("skylark_team_requests_total{outcome=\"answered\",team=\"other\"} 950.0");
	}

	/**
	 * Guards against rejections that the caller caused, such as rate limiting, being
	 * counted against the router's error budget.
	 */
	@Test
	void rateLimitsDoNotBurnTheErrorBudget() {
		assertThat(RequestOutcome.of(ErrorType.RATE_LIMITED).burnsBudget()).isFalse();
		assertThat(RequestOutcome.of(ErrorType.UNAUTHENTICATED).burnsBudget()).isFalse();
		assertThat(RequestOutcome.of(ErrorType.BACKEND_FAILED).burnsBudget()).isTrue();
		assertThat(RequestOutcome.of(ErrorType.NO_ENGINE).burnsBudget()).isTrue();
		assertThat(RequestOutcome.of(ErrorType.CLAIM_UNAVAILABLE)).isEqualTo(RequestOutcome.STORE_UNAVAILABLE);
	}

}
