package org.skylarkstack.daemon;

import java.util.function.BiConsumer;

import org.skylarkstack.peer.PeerMessage;
import org.skylarkstack.peer.PeerTransport;

/**
 * Transport of a daemon that has no peers: it drops every message.
 */
final class DroppingTransport implements PeerTransport {

	@Override
	public boolean send(String vmId, PeerMessage message) {
		return false;
	}

	@Override
	public <M extends PeerMessage> void handle(Class<M> type, BiConsumer<String, M> handler) {
		// No message ever arrives.
	}

}
