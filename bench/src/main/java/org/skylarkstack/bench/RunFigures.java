package org.skylarkstack.bench;

import java.util.Map;

/**
 * Figures of one run.
 *
 * @param requests the requests sent
 * @param goodput completions a second that are whole and met their targets
 * @param goodTokens output tokens of these a second
 * @param whole the share of the requests that were answered whole
 * @param wastedPrefillTokens prompt tokens prefilled in vain or again
 * @param wastedPrefill their share of all prefilled prompt tokens
 * @param worstTeam the team with the least service against its fair share
 * @param worstService that team's service as a share of its fair share
 * @param wrongRefusals requests refused although within rate
 * @param wrongRefusalShare their share of all requests
 * @param firstTokenMedianMillis median time to the first token of interactive requests
 * @param firstTokenP99Millis its 99th percentile
 * @param gapMedianMillis median time between tokens
 * @param gapP99Millis its 99th percentile
 * @param errors the failed and refused requests by error
 * @param breaches the breaches of invariants
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
