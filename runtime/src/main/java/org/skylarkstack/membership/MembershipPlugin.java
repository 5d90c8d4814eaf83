package org.skylarkstack.membership;

import org.skylarkstack.kernel.Plugin;
import org.skylarkstack.kernel.PluginRegistry;
import org.skylarkstack.peer.PeerMessageType;

/**
 * Registers the heartbeat message.
 */
public final class MembershipPlugin implements Plugin {

	private static final int HEARTBEAT = 2;

	@Override
	public void register(PluginRegistry registry) {
		registry.add(PeerMessageType.class, Heartbeat.class.getSimpleName(),
				() -> new PeerMessageType(HEARTBEAT, Heartbeat.class));
	}

}
