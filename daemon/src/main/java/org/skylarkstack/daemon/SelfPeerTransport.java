package org.skylarkstack.daemon;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;

import org.skylarkstack.peer.PeerMessage;
import org.skylarkstack.peer.PeerTransport;

/**
 * Transport that reaches this VM only.
 */
final class SelfPeerTransport implements PeerTransport {

	private final Map<Class<?>, BiConsumer<String, PeerMessage>> handlers = new ConcurrentHashMap<>();

	private final String vmId;

	SelfPeerTransport(String vmId) {
		this.vmId = vmId;
	}

	@Override
	public boolean send(String to, PeerMessage message) {
		BiConsumer<String, PeerMessage> handler = this.handlers.get(message.getClass());
		if (handler == null || !to.equals(this.vmId)) {
			return false;
		}
		handler.accept(this.vmId, message);
		return true;
	}

	@Override
	public <M extends PeerMessage> void handle(Class<M> type, BiConsumer<String, M> handler) {
		this.handlers.put(type, (from, message) -> handler.accept(from, type.cast(message)));
	}

}
