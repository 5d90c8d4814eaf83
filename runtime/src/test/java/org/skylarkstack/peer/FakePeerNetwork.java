package org.skylarkstack.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;

/**
 * In-memory peer network with seeded delays and switchable link failures. Messages are
 * delivered only when the test advances the time.
 */
public final class FakePeerNetwork {

	private final RandomGenerator random;

	private final long maxDelayNanos;

	private final Map<String, Endpoint> endpoints = new HashMap<>();

	private final Set<String> cuts = new HashSet<>();

	private final List<InFlight> inFlight = new ArrayList<>();

	private long nowNanos;

	/**
	 * Creates a network.
	 * @param random the seeded source of delays
	 * @param maxDelayNanos the longest delay in nanoseconds
	 */
	public FakePeerNetwork(RandomGenerator random, long maxDelayNanos) {
		this.random = random;
		this.maxDelayNanos = maxDelayNanos;
	}

	/**
	 * Adds a VM, or replaces it after a restart.
	 * @param vmId the VM
	 * @return its transport
	 */
	public PeerTransport join(String vmId) {
		Endpoint endpoint = new Endpoint(vmId);
		this.endpoints.put(vmId, endpoint);
		return endpoint;
	}

	/**
	 * Removes a VM; messages in flight to it are dropped.
	 * @param vmId the VM
	 */
	public void leave(String vmId) {
		this.endpoints.remove(vmId);
	}

	/**
	 * Disconnects or reconnects the link between two VMs in both directions.
	 * @param first one VM
	 * @param second the other VM
	 * @param isCut whether messages on the link are dropped
	 */
	public void cut(String first, String second, boolean isCut) {
		if (isCut) {
			this.cuts.add(first + ' ' + second);
			this.cuts.add(second + ' ' + first);
		}
		else {
			this.cuts.remove(first + ' ' + second);
			this.cuts.remove(second + ' ' + first);
		}
	}

	/**
	 * Advances the time and delivers the messages that are due, in sending order from one
	 * VM to another.
	 * @param toNanos the new time in nanoseconds
	 */
	public void advance(long toNanos) {
		while (true) {
			InFlight next = null;
			for (InFlight message : this.inFlight) {
				if (message.dueNanos <= toNanos && (next == null || message.dueNanos < next.dueNanos)) {
					next = message;
				}
			}
			if (next == null) {
				break;
			}
			this.inFlight.remove(next);
			this.nowNanos = Math.max(this.nowNanos, next.dueNanos);
			deliver(next);
		}
		this.nowNanos = toNanos;
	}

	private void deliver(InFlight message) {
		Endpoint receiver = this.endpoints.get(message.to);
		if (receiver != null && !this.cuts.contains(message.from + ' ' + message.to)) {
			receiver.receive(message.from, message.message);
		}
	}

	private record InFlight(String from, String to, PeerMessage message, long dueNanos) {

	}

	private final class Endpoint implements PeerTransport {

		private final String vmId;

		private final Map<Class<?>, BiConsumer<String, PeerMessage>> handlers = new HashMap<>();

		private final Map<String, Long> lastDueNanos = new HashMap<>();

		Endpoint(String vmId) {
			this.vmId = vmId;
		}

		@Override
		public boolean send(String to, PeerMessage message) {
			long delay = to.equals(this.vmId) ? 0
					: FakePeerNetwork.this.random.nextLong(FakePeerNetwork.this.maxDelayNanos + 1);
			long due = Math.max(FakePeerNetwork.this.nowNanos + delay, this.lastDueNanos.getOrDefault(to, 0L));
			this.lastDueNanos.put(to, due);
			FakePeerNetwork.this.inFlight.add(new InFlight(this.vmId, to, message, due));
			return true;
		}

		@Override
		@SuppressWarnings("unchecked")
		public <M extends PeerMessage> void handle(Class<M> type, BiConsumer<String, M> handler) {
			this.handlers.put(type, (from, message) -> handler.accept(from, (M) message));
		}

		private void receive(String from, PeerMessage message) {
			BiConsumer<String, PeerMessage> handler = this.handlers.get(message.getClass());
			if (handler != null) {
				handler.accept(from, message);
			}
		}

	}

}
