package org.skylarkstack.peer;

/**
 * Message between daemons. Each message type is a record that the codec knows by its
 * number.
 */
public interface PeerMessage {

}
