package org.skylarkstack.configuration;

import org.skylarkstack.peer.PeerMessage;

/**
 * Part of a configuration snapshot, sent to a peer whose configuration is empty or whose
 * missing tickets are no longer cached.
 *
 * @param pullId the identifier of the pull to which this part is the response
 * @param part the index of this part, starting at 0
 * @param parts the total number of parts
 * @param bytes the bytes of this part
 */
@SuppressWarnings("ArrayRecordComponent")
public record ConfigurationSnapshot(long pullId, int part, int parts, byte[] bytes) implements PeerMessage {

}
