package org.skylarkstack.peer;

import java.util.function.BiConsumer;

/**
 * Sends messages to other daemons. Delivery is not guaranteed, and messages may arrive
 * late. Messages from one daemon to another arrive in order on the same connection.
 */
public interface PeerTransport {

	/**
	 * Sends a message without blocking. A message to this VM itself is delivered locally.
	 * @param vmId the receiving VM
	 * @param message the message
	 * @return whether the message was queued; {@code false} if it was dropped immediately
	 */
	boolean send(String vmId, PeerMessage message);

	/**
	 * Sets the handler for a message type. It is called with the sending VM and the
	 * message on a transport thread and must not block.
	 * @param type the message type
	 * @param handler the handler
	 * @param <M> the message type
	 */
	<M extends PeerMessage> void handle(Class<M> type, BiConsumer<String, M> handler);

}
