package org.skylarkstack.bench;

/**
 * Figures of one run of the policy experiment.
 *
 * @param goodputPerSecond the requests per second that met both latency targets or, for
 * batch requests, their deadline
 * @param wastedPrefillShare the prompt tokens prefilled for requests without a complete
 * response, as a share of all prefilled prompt tokens
 * @param worstServiceRatio the lowest ratio, over all teams, of the cost of requests
 * served within their targets to the team's fair share
 */
record PolicyResult(double goodputPerSecond, double wastedPrefillShare, double worstServiceRatio) {

}
