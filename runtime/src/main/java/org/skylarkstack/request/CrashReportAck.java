package org.skylarkstack.request;

import org.skylarkstack.peer.PeerMessage;

/**
 * Confirms that a peer knows a crash.
 *
 * @param crashId the attempt whose engine died
 */
public record CrashReportAck(String crashId) implements PeerMessage {

}
