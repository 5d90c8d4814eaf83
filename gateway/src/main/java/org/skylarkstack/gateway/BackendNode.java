package org.skylarkstack.gateway;

import java.net.InetSocketAddress;

/**
 * Backend server as described by its own announcement.
 *
 * @param id the identifier of the server instance
 * @param startedMillis when this incarnation started, in milliseconds since the epoch
 * @param sequenceNumber increases with each announcement of an incarnation
 * @param service the service that it belongs to
 * @param address the address on which it accepts requests
 * @param dataCentre the data centre that it runs in
 * @param slots the number of requests that it runs concurrently
 * @param draining whether it is about to stop and must get no new requests
 * @param role its role
 * @param coldRemainingMillis how much longer it stays cold from the time of its
 * announcement, in milliseconds; 0 if it is not cold
 */
public record BackendNode(String id, long startedMillis, long sequenceNumber, String service, InetSocketAddress address,
		String dataCentre, int slots, boolean draining, BackendRole role, long coldRemainingMillis) {

	/**
	 * Creates the announcement of a server that is not cold.
	 * @param id the identifier of the server instance
	 * @param startedMillis when this incarnation started, in milliseconds since the epoch
	 * @param sequenceNumber increases with each announcement of an incarnation
	 * @param service the service that it belongs to
	 * @param address the address on which it accepts requests
	 * @param dataCentre the data centre that it runs in
	 * @param slots the number of requests that it runs concurrently
	 * @param draining whether it is about to stop and must get no new requests
	 * @param role its role
	 */
	public BackendNode(String id, long startedMillis, long sequenceNumber, String service, InetSocketAddress address,
			String dataCentre, int slots, boolean draining, BackendRole role) {
		this(id, startedMillis, sequenceNumber, service, address, dataCentre, slots, draining, role, 0);
	}

	/**
	 * Returns a key that identifies this server in its current role.
	 * @return the identifier and the role, separated by a slash
	 */
	public String roleKey() {
		return this.id + "/" + this.role;
	}

	/**
	 * Returns this announcement with the server marked as about to stop.
	 * @return this announcement, or a copy of it
	 */
	BackendNode asDraining() {
		return this.draining ? this : new BackendNode(this.id, this.startedMillis, this.sequenceNumber, this.service,
				this.address, this.dataCentre, this.slots, true, this.role, this.coldRemainingMillis);
	}

	/**
	 * Returns whether another announcement belongs to the same incarnation of this
	 * server.
	 * @param other the other announcement
	 * @return whether both the identifier and the start time are equal
	 */
	public boolean sameIncarnation(BackendNode other) {
		return this.id.equals(other.id) && this.startedMillis == other.startedMillis;
	}

}
