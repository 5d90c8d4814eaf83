package org.skylarkstack.peer;

/**
 * Registration of a message type under the number that identifies it on the wire. Numbers
 * are never reused.
 *
 * @param number the number on the wire
 * @param type the message record
 */
public record PeerMessageType(int number, Class<? extends PeerMessage> type) {

}
