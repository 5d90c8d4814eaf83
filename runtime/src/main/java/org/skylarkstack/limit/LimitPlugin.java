package org.skylarkstack.limit;

import org.skylarkstack.kernel.Plugin;
import org.skylarkstack.kernel.PluginRegistry;
import org.skylarkstack.peer.PeerMessage;
import org.skylarkstack.peer.PeerMessageType;

/**
 * Registers the peer messages of the token limits.
 */
public final class LimitPlugin implements Plugin {

	private static final int TOKEN_REQUEST = 20;

	private static final int TOKEN_GRANT = 21;

	private static final int TOKEN_RETURN = 22;

	@Override
	public void register(PluginRegistry registry) {
		add(registry, TOKEN_REQUEST, TokenRequest.class);
		add(registry, TOKEN_GRANT, TokenGrant.class);
		add(registry, TOKEN_RETURN, TokenReturn.class);
	}

	private static void add(PluginRegistry registry, int number, Class<? extends PeerMessage> type) {
		registry.add(PeerMessageType.class, type.getSimpleName(), () -> new PeerMessageType(number, type));
	}

}
