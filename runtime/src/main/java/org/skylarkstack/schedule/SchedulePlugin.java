package org.skylarkstack.schedule;

import java.util.List;

import org.skylarkstack.kernel.Plugin;
import org.skylarkstack.kernel.PluginRegistry;
import org.skylarkstack.peer.PeerMessage;
import org.skylarkstack.peer.PeerMessageType;

/**
 * Registers the placement policies and the message types of the placement protocol.
 */
public final class SchedulePlugin implements Plugin {

	/** Name of the policy that {@link PoolScheduler} implements. */
	public static final String FAIR_QUEUE = "fair-queue";

	private static final int FIRST_MESSAGE_NUMBER = 30;

	private static final List<Class<? extends PeerMessage>> MESSAGES = List.of(PlacementOffer.class,
			PlacementReceipt.class, PlacementGrant.class, PlacementRefusal.class, PlacementCancel.class,
			PlacementEnd.class, PlacementEndReceipt.class, PlacementRenewal.class);

	@Override
	public void register(PluginRegistry registry) {
		registry.add(PlacementPolicy.class, FAIR_QUEUE, PoolScheduler::new);
		registry.add(PlacementPolicy.class, "random", RandomPolicy::new);
		registry.add(PlacementPolicy.class, "round-robin", RoundRobinPolicy::new);
		registry.add(PlacementPolicy.class, "least-reported", LeastReportedPolicy::new);
		registry.add(PlacementPolicy.class, "two-choices", TwoChoicesPolicy::new);
		registry.add(PlacementPolicy.class, "oracle", OraclePolicy::new);
		for (int i = 0; i < MESSAGES.size(); i++) {
			PeerMessageType type = new PeerMessageType(FIRST_MESSAGE_NUMBER + i, MESSAGES.get(i));
			registry.add(PeerMessageType.class, type.type().getSimpleName(), () -> type);
		}
	}

}
