package org.skylarkstack.gateway;

import java.util.List;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;

/**
 * Chooses the backend server of a request: the one with the lowest load per slot, or with
 * the shortest expected time where servers state how long work takes, with a small
 * penalty for servers in another data centre and a penalty for recent failures. A server
 * that is being avoided is chosen only if no other candidate is left.
 *
 * <p>
 * Several daemons choose independently of each other among servers of unequal speed. A
 * small random term keeps them from choosing the same server at the same time. Each
 * daemon opens only its part of the connections that a server accepts from all daemons,
 * because an overloaded server resets the connections beyond that number.
 */
public final class BackendChooser {

	// The penalties and the jitter are in the unit of the cost, open requests per slot.
	private static final double REMOTE_PENALTY = 0.08;

	private static final double FAILURE_PENALTY = 2.0;

	private static final double FREE_SLOT_WEIGHT = 0.3;

	private static final double JITTER = 0.05;

	private final String dataCentre;

	private final IntSupplier daemons;

	private final RandomGenerator random;

	/**
	 * Creates a chooser.
	 * @param dataCentre the data centre of this daemon
	 * @param daemons returns the number of daemons that share the servers' connections
	 * @param random the random number generator for the random term
	 */
	public BackendChooser(String dataCentre, IntSupplier daemons, RandomGenerator random) {
		this.dataCentre = dataCentre;
		this.daemons = daemons;
		this.random = random;
	}

	/**
	 * Chooses the candidate with the lowest cost.
	 * @param candidates the servers that may be used
	 * @param service the service that all candidates belong to
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the server, or {@code null} if there are no candidates or this daemon has
	 * reached its maximum of connections to each of them
	 */
	public @Nullable BackendState choose(List<BackendState> candidates, ServicePolicy service, long nowNanos) {
		int maxOpen = service.maxConnectionsPerDaemon(this.daemons.getAsInt());
		boolean paced = candidates.stream().anyMatch((candidate) -> candidate.pace().isStated(nowNanos));
		BackendState best = null;
		double bestCost = Double.MAX_VALUE;
		for (BackendState candidate : candidates) {
			if (candidate.openRequests() >= maxOpen) {
				continue;
			}
			double cost = cost(candidate, paced, nowNanos);
			if (cost < bestCost) {
				best = candidate;
				bestCost = cost;
			}
		}
		return best;
	}

	// A server works on a request immediately while it has a free slot. Until all slots
	// are taken, its load counts less than its speed.
	private static double expectedTime(double requestsPerSlot, double pace) {
		return pace * Math.max(1, requestsPerSlot) + FREE_SLOT_WEIGHT * requestsPerSlot;
	}

	private double cost(BackendState candidate, boolean paced, long nowNanos) {
		BackendNode node = candidate.node();
		double requestsPerSlot = (candidate.load(nowNanos) + 1) / Math.max(1, node.slots());
		double cost = paced ? expectedTime(requestsPerSlot, candidate.pace().expected(nowNanos)) : requestsPerSlot;
		cost += candidate.coldCost(nowNanos);
		cost += FAILURE_PENALTY * candidate.failureShare();
		cost += node.dataCentre().equals(this.dataCentre) ? 0 : REMOTE_PENALTY;
		// Exceeds any other cost, so that a server that is being avoided comes last.
		cost += candidate.isAvoided(nowNanos) ? 1_000 : 0;
		return cost + JITTER * this.random.nextDouble();
	}

}
