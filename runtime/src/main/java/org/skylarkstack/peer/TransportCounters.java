package org.skylarkstack.peer;

/**
 * Counts of a transport since its start.
 *
 * @param sentMessages the messages handed to a socket
 * @param sentBytes the bytes handed to sockets
 * @param receivedMessages the messages handed to handlers
 * @param receivedBytes the bytes read from sockets
 * @param droppedFull the messages dropped because a ring was full or a link was down
 * @param rejectedFrames the frames with a wrong HMAC, sequence number or version, and
 * malformed messages
 * @param unknownPeers the connections from VMs that are not known
 * @param droppedRate the frames over the inbound rate bound
 * @param replacedSilent the connections replaced because they went silent
 */
public record TransportCounters(long sentMessages, long sentBytes, long receivedMessages, long receivedBytes,
		long droppedFull, long rejectedFrames, long unknownPeers, long droppedRate, long replacedSilent) {

}
