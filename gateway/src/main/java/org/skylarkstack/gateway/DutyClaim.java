package org.skylarkstack.gateway;

/**
 * Claim of a duty.
 *
 * @param holder the daemon that made it, or an empty text if there is none
 * @param fencingNumber grows with each claim; 0 if there is none
 */
public record DutyClaim(String holder, long fencingNumber) {

}
