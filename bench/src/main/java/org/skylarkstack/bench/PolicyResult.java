package org.skylarkstack.bench;

/**
 * Figures of one run of the policy experiment.
 *
 * @param goodPerSecond the requests a second that met both latency targets or, for batch
 * requests, their deadline
 * @param wastedPrefill the prefilled prompt tokens of requests without a whole answer, as
 * a share of all
 * @param worstShare the cost-weighted good service of the worst-served team divided by
 * its fair share
 */
record PolicyResult(double goodPerSecond, double wastedPrefill, double worstShare) {

}
