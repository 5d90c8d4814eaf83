package org.skylarkstack.request;

import org.skylarkstack.peer.PeerMessage;

/**
 * Peer message: the sender has recorded a reported crash.
 *
 * @param crashId the id of the attempt whose engine crashed
 */
public record CrashReportAck(String crashId) implements PeerMessage {

}
