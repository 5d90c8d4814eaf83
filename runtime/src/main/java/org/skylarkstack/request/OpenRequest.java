package org.skylarkstack.request;

import org.skylarkstack.kernel.Cancellation;

/**
 * Request that this daemon is processing.
 *
 * @param keyHash the hash of the caller's API key, or an empty string on routes that need
 * no key
 * @param teamId the id of the team, or an empty string on routes that need no key
 * @param fingerprint the hash of team, path and body, or an empty string for plain
 * services
 * @param cancellation ends the request
 */
public record OpenRequest(String keyHash, String teamId, String fingerprint, Cancellation cancellation) {

}
