package org.skylarkstack.peer;

/**
 * Number of a message type on the wire. Numbers are never reused.
 *
 * @param number the number
 * @param type the message record
 */
public record PeerMessageType(int number, Class<? extends PeerMessage> type) {

}
