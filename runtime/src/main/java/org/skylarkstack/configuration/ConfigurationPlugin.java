package org.skylarkstack.configuration;

import org.skylarkstack.kernel.Plugin;
import org.skylarkstack.kernel.PluginRegistry;
import org.skylarkstack.peer.PeerMessageType;

/**
 * Registers the messages that exchange tickets and snapshots; message numbers 10 to 19
 * are reserved for them.
 */
public final class ConfigurationPlugin implements Plugin {

	@Override
	public void register(PluginRegistry registry) {
		registry.add(PeerMessageType.class, "ticket-push", () -> new PeerMessageType(10, TicketPush.class));
		registry.add(PeerMessageType.class, "ticket-pull", () -> new PeerMessageType(11, TicketPull.class));
		registry.add(PeerMessageType.class, "configuration-snapshot",
				() -> new PeerMessageType(12, ConfigurationSnapshot.class));
	}

}
