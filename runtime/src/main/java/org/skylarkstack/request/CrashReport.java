package org.skylarkstack.request;

import org.skylarkstack.peer.PeerMessage;

/**
 * Peer message: a request crashed an engine, or has since run to its end and is no longer
 * a suspect.
 *
 * @param fingerprint the hash of team, path and body
 * @param crashId the id of the attempt whose engine crashed; unique for each crash
 * @param engineId the engine that crashed, or an empty string if {@code cleared}
 * @param cleared whether the request has since run to its end and is no longer a suspect
 */
public record CrashReport(String fingerprint, String crashId, String engineId, boolean cleared) implements PeerMessage {

}
