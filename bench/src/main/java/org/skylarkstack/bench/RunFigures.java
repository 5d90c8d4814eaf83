package org.skylarkstack.bench;

import java.util.Map;

/**
 * Figures of one run.
 *
 * @param requests the requests sent
 * @param goodput completions per second that are complete and met their latency targets
 * @param goodTokens output tokens per second of these completions
 * @param whole the share of the requests with a complete response
 * @param wastedPrefillTokens prompt tokens prefilled repeatedly or for requests without a
 * complete response
 * @param wastedPrefill the share of wasted prefill tokens in all prefilled prompt tokens
 * @param worstTeam the team with the lowest ratio of service to fair share
 * @param worstService the ratio of that team's service to its fair share
 * @param wrongRefusals requests refused although the team was within its limit
 * @param wrongRefusalShare the share of wrong refusals in all requests
 * @param firstTokenMedianMillis median time to the first token of interactive requests
 * @param firstTokenP99Millis 99th percentile of the time to the first token
 * @param gapMedianMillis median time between tokens
 * @param gapP99Millis 99th percentile of the time between tokens
 * @param errors the number of failed and refused requests by error name
 * @param breaches the number of violations of each invariant
 */
public record RunFigures(int requests, double goodput, double goodTokens, double whole, long wastedPrefillTokens,
		double wastedPrefill, String worstTeam, double worstService, long wrongRefusals, double wrongRefusalShare,
		double firstTokenMedianMillis, double firstTokenP99Millis, double gapMedianMillis, double gapP99Millis,
		Map<String, Long> errors, Breaches breaches) {

	/** Copies the map. */
	public RunFigures {
		errors = Map.copyOf(errors);
	}

}
