package org.skylarkstack.request;

import org.skylarkstack.peer.PeerMessage;

/**
 * Tells a peer that a request lost a backend server, or that it proved harmless.
 *
 * @param fingerprint the hash of team and body
 * @param crashId the attempt whose engine died; unique for each loss
 * @param engineId the engine that died, or an empty string
 * @param cleared whether the request has run to its end since and is no suspect any more
 */
public record CrashReport(String fingerprint, String crashId, String engineId, boolean cleared) implements PeerMessage {

}
