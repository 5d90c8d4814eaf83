package org.skylarkstack.peer;

/**
 * Message between daemons. Each message type is a record that is registered with a unique
 * number.
 */
public interface PeerMessage {

}
