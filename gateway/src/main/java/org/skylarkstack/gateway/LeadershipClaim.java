package org.skylarkstack.gateway;

/**
 * Claim of a daemon to a duty that one daemon at a time may carry out.
 *
 * @param holder the name of the daemon that made the claim, or an empty string if the
 * duty has never been claimed
 * @param fencingToken the number of the claim, which grows with each claim; 0 if the duty
 * has never been claimed
 */
public record LeadershipClaim(String holder, long fencingToken) {

}
