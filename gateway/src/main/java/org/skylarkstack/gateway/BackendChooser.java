package org.skylarkstack.gateway;

import java.util.List;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;

/**
 * Chooses the backend server of a request: the least loaded one for its slots, with a
 * small preference for the own data centre and a penalty for recent failures. Servers
 * that are avoided get a request only when nobody else is left.
 *
 * <p>
 * Answers the load pattern of several daemons that decide alone over servers of unequal
 * speed: small random differences keep them from choosing the same server at once. A
 * server that falls behind would reset connections beyond what it accepts from all.
 */
public final class BackendChooser {

	private static final double REMOTE_PENALTY = 0.08;

	private static final double FAILURE_PENALTY = 2.0;

	private static final double JITTER = 0.05;

	private final String dataCentre;

	private final IntSupplier daemons;

	private final RandomGenerator random;

	/**
	 * Creates a chooser.
	 * @param dataCentre the data centre of this daemon
	 * @param daemons returns the number of daemons that share the servers' connections
	 * @param random the source of randomness
	 */
	public BackendChooser(String dataCentre, IntSupplier daemons, RandomGenerator random) {
		this.dataCentre = dataCentre;
		this.daemons = daemons;
		this.random = random;
	}

	/**
	 * Chooses a server.
	 * @param candidates the servers that may be used
	 * @param service their service
	 * @param nowNanos the present time
	 * @return the server, or {@code null} if there is none, or if this daemon has its
	 * share of connections open to each
	 */
	public @Nullable BackendState choose(List<BackendState> candidates, ServicePolicy service, long nowNanos) {
		int share = service.connectionShare(this.daemons.getAsInt());
		BackendState best = null;
		double bestCost = Double.MAX_VALUE;
		for (BackendState candidate : candidates) {
			if (candidate.open() >= share) {
				continue;
			}
			double cost = cost(candidate, nowNanos);
			if (cost < bestCost) {
				best = candidate;
				bestCost = cost;
			}
		}
		return best;
	}

	private double cost(BackendState candidate, long nowNanos) {
		BackendNode node = candidate.node();
		double cost = (candidate.load(nowNanos) + 1) / Math.max(1, node.slots());
		cost += FAILURE_PENALTY * candidate.failureShare();
		cost += node.dataCentre().equals(this.dataCentre) ? 0 : REMOTE_PENALTY;
		cost += candidate.avoided(nowNanos) ? 1_000 : 0;
		return cost + JITTER * this.random.nextDouble();
	}

}
