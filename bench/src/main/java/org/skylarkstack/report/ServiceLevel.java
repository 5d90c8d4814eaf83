package org.skylarkstack.report;

import java.time.Duration;

/**
 * Objectives and windows of the service-level report.
 *
 * @param success the fraction of requests that must not fail
 * @param fast the fraction of tokens that must meet their latency target
 * @param firstTokenSeconds the target for the time to the first token, in seconds
 * @param tokenGapSeconds the target for the time between two tokens, in seconds
 * @param shortWindow the length of the short window
 * @param longWindow the length of the long window, over which the budget is computed
 * @param teams the number of teams that are shown by request count and, in addition, by
 * burn rate; all other teams are summed in one row
 */
public record ServiceLevel(double success, double fast, double firstTokenSeconds, double tokenGapSeconds,
		Duration shortWindow, Duration longWindow, int teams) {

	/** Default objectives: 99.9 % without failure, 95 % within the latency targets. */
	public static final ServiceLevel DEFAULT = new ServiceLevel(0.999, 0.95, 0.52, 0.051, Duration.ofMinutes(5),
			Duration.ofHours(1), 3);

	/** Validates the objectives. */
	public ServiceLevel {
		if (success <= 0 || success >= 1 || fast <= 0 || fast >= 1) {
			throw new IllegalArgumentException("objectives must be between 0 and 1, exclusive");
		}
	}

}
