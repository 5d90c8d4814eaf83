package org.skylarkstack.request;

import org.skylarkstack.kernel.Cancellation;

/**
 * Request that this daemon works on.
 *
 * @param keyHash the hash of the caller's key, or an empty string on open routes
 * @param teamId the team, or an empty string on open routes
 * @param fingerprint the hash of team and body, or an empty string for plain services
 * @param cancellation ends the request
 */
public record OpenRequest(String keyHash, String teamId, String fingerprint, Cancellation cancellation) {

}
