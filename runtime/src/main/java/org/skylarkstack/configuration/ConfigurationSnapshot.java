package org.skylarkstack.configuration;

import org.skylarkstack.peer.PeerMessage;

/**
 * Part of a snapshot for a peer that is far behind.
 *
 * @param pullId the pull that this answers
 * @param part the index of this part from 0
 * @param parts the number of parts
 * @param bytes the bytes of this part
 */
@SuppressWarnings("ArrayRecordComponent")
public record ConfigurationSnapshot(long pullId, int part, int parts, byte[] bytes) implements PeerMessage {

}
