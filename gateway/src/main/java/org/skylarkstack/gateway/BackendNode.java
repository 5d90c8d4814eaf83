package org.skylarkstack.gateway;

import java.net.InetSocketAddress;

/**
 * Backend server as it announces itself.
 *
 * @param id the identifier of its life
 * @param bornMillis when this life began, in milliseconds since the epoch
 * @param service the service that it belongs to
 * @param address its address
 * @param dataCentre its data centre
 * @param slots the requests that it runs at once
 * @param draining whether it is about to leave
 * @param stage its role
 */
public record BackendNode(String id, long bornMillis, String service, InetSocketAddress address, String dataCentre,
		int slots, boolean draining, Stage stage) {

	/**
	 * Returns a text that names this server in its present role.
	 * @return the text
	 */
	public String roleKey() {
		return this.id + "/" + this.stage;
	}

	/**
	 * Returns whether another announcement is of the same life of the same server.
	 * @param other the other announcement
	 * @return whether both are the same life
	 */
	public boolean sameLife(BackendNode other) {
		return this.id.equals(other.id) && this.bornMillis == other.bornMillis;
	}

}
