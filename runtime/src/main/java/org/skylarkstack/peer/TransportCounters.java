package org.skylarkstack.peer;

/**
 * Counter values of a transport since its start.
 *
 * @param sentMessages the messages passed to a connection for writing
 * @param sentBytes the bytes passed to connections for writing
 * @param receivedMessages the messages passed to handlers
 * @param receivedBytes the bytes read from sockets
 * @param droppedFull the messages dropped because a queue was full or a link was down or
 * blocked
 * @param rejectedFrames the frames with a wrong HMAC, sequence number or version, and
 * malformed messages
 * @param unknownPeers the connections from VMs that are not in the settings
 * @param droppedRate the frames dropped because a peer exceeded the inbound rate limit
 * @param replacedSilent the connections replaced because acknowledgements stopped
 */
public record TransportCounters(long sentMessages, long sentBytes, long receivedMessages, long receivedBytes,
		long droppedFull, long rejectedFrames, long unknownPeers, long droppedRate, long replacedSilent) {

}
