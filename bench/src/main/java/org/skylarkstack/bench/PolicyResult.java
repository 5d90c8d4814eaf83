package org.skylarkstack.bench;

/**
 * Figures of one run of the policy experiment.
 *
 * @param goodputPerSecond the requests a second that met both latency targets or, for
 * batch requests, their deadline
 * @param wastedPrefillShare the prefilled prompt tokens of requests without a whole
 * answer, as a share of all
 * @param worstServiceRatio the cost-weighted good service of the worst-served team
 * divided by its fair share
 */
record PolicyResult(double goodputPerSecond, double wastedPrefillShare, double worstServiceRatio) {

}
