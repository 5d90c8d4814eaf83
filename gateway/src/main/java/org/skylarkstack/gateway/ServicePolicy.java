package org.skylarkstack.gateway;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.coldness.ColdPolicy;

/**
 * Configuration of a service that requests are routed to.
 *
 * @param name the name of the service
 * @param maxConnections the number of connections that each server accepts in total
 * @param engine the profile of its model engines, or {@code null} for a plain service
 * @param cold the policy for servers that are slow after their start
 */
public record ServicePolicy(String name, int maxConnections, @Nullable EngineProfile engine, ColdPolicy cold) {

	// Share of the accepted connections that is divided among the daemons. The rest is
	// for daemons that are not registered yet, and for closed connections whose end the
	// server has not detected yet.
	private static final double USED_SHARE = 0.9;

	// Allows every daemon an attempt and a retry at each server, regardless of the number
	// of daemons.
	private static final int MIN_CONNECTIONS = 2;

	/**
	 * Creates the configuration of a service whose servers are never cold.
	 * @param name the name of the service
	 * @param maxConnections the number of connections that each server accepts in total
	 * @param engine the profile of its model engines, or {@code null} for a plain service
	 */
	public ServicePolicy(String name, int maxConnections, @Nullable EngineProfile engine) {
		this(name, maxConnections, engine, ColdPolicy.NONE);
	}

	/**
	 * Returns the number of connections that one daemon may have open to a server.
	 * @param daemons the number of daemons that share the connections of the server
	 * @return the number, at least 2
	 */
	int maxConnectionsPerDaemon(int daemons) {
		return Math.max(MIN_CONNECTIONS, (int) (USED_SHARE * this.maxConnections / Math.max(1, daemons)));
	}

}
