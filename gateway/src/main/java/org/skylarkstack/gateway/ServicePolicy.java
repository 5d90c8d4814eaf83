package org.skylarkstack.gateway;

import org.jspecify.annotations.Nullable;

/**
 * Service that requests are routed to.
 *
 * @param name the name
 * @param maxConnections the connections that each server accepts from all callers
 * @param engine the profile of its model engines, or {@code null} for a plain service
 */
public record ServicePolicy(String name, int maxConnections, @Nullable EngineProfile engine) {

	// The rest is for daemons that are not known here yet, and for connections that
	// servers have not seen end.
	private static final double USED_SHARE = 0.9;

	// A daemon can always try a server and try it again.
	private static final int MIN_SHARE = 2;

	/**
	 * Returns the connections that one daemon may have open to a server.
	 * @param daemons the number of daemons
	 * @return the number
	 */
	int connectionShare(int daemons) {
		return Math.max(MIN_SHARE, (int) (USED_SHARE * this.maxConnections / Math.max(1, daemons)));
	}

}
