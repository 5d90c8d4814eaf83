package org.skylarkstack.report;

import java.time.Duration;

/**
 * Objectives and windows of the report.
 *
 * @param success the share of requests that must not fail
 * @param fast the share of tokens that must meet their latency target
 * @param firstTokenSeconds the target of the first token in seconds
 * @param tokenGapSeconds the target between two tokens in seconds
 * @param shortWindow the short window
 * @param longWindow the long window, for which the budget is counted
 * @param teams the number of largest and of worst teams that are shown; the rest is
 * summed
 */
public record ServiceLevel(double success, double fast, double firstTokenSeconds, double tokenGapSeconds,
		Duration shortWindow, Duration longWindow, int teams) {

	/** Usual objectives: 99.9 % without failure, 95 % within the latency targets. */
	public static final ServiceLevel DEFAULT = new ServiceLevel(0.999, 0.95, 0.52, 0.051, Duration.ofMinutes(5),
			Duration.ofHours(1), 3);

	/** Checks the objectives. */
	public ServiceLevel {
		if (success <= 0 || success >= 1 || fast <= 0 || fast >= 1) {
			throw new IllegalArgumentException("objectives must lie between 0 and 1");
		}
	}

}
