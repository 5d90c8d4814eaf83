package org.skylarkstack.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;

import org.skylarkstack.configuration.ConfigurationHolder;
import org.skylarkstack.configuration.EngineNode;
import org.skylarkstack.configuration.Ticket;
import org.skylarkstack.configuration.TicketChange;
import org.skylarkstack.engine.EngineLoad;
import org.skylarkstack.membership.Member;
import org.skylarkstack.membership.Membership;
import org.skylarkstack.membership.MembershipView;
import org.skylarkstack.peer.FakePeerNetwork;
import org.skylarkstack.peer.PeerMessage;
import org.skylarkstack.peer.PeerTransport;

/**
 * Simulates the placement protocol of several VMs on a fake network, in one thread and
 * with simulated time.
 */
final class PlacementFleet {

	static final long STEP_NANOS = 5 * Engines.MILLIS;

	final FakePeerNetwork network;

	final TreeMap<String, Vm> vms = new TreeMap<>();

	private final RandomGenerator random;

	private final ConfigurationHolder configuration = new ConfigurationHolder();

	private long incarnations;

	long nowNanos;

	PlacementFleet(RandomGenerator random, int vmCount, List<EngineNode> engines) {
		this.random = random;
		this.network = new FakePeerNetwork(random, 3 * Engines.MILLIS);
		List<TicketChange> changes = new ArrayList<>();
		engines.forEach((engine) -> changes.add(TicketChange.set(engine)));
		this.configuration.update((old) -> old.apply(new Ticket(1, "test", changes)));
		for (int i = 0; i < vmCount; i++) {
			start("vm" + i);
		}
	}

	void start(String vmId) {
		this.vms.put(vmId, new Vm(vmId, ++this.incarnations));
	}

	void kill(String vmId) {
		this.vms.remove(vmId);
		this.network.leave(vmId);
	}

	String ownerOf(String model) {
		return this.vms.firstEntry().getValue().view().softOwner(PlacementOwner.ownerKey(model));
	}

	void run(long nanos) {
		long end = this.nowNanos + nanos;
		while (this.nowNanos < end) {
			this.nowNanos += STEP_NANOS;
			this.network.advance(this.nowNanos);
			List.copyOf(this.vms.values()).forEach(Vm::step);
		}
	}

	/**
	 * VM with both sides of the placement protocol.
	 */
	final class Vm implements Membership, PeerTransport {

		final String vmId;

		final PlacementClient client;

		final PlacementOwner owner;

		private final long incarnation;

		private final PeerTransport transport;

		Vm(String vmId, long incarnation) {
			this.vmId = vmId;
			this.incarnation = incarnation;
			this.transport = PlacementFleet.this.network.join(vmId);
			this.owner = new PlacementOwner(this, this, PlacementFleet.this.configuration, PoolScheduler::new,
					PlacementFleet.this.random);
			this.client = new PlacementClient(vmId, this, this, PlacementFleet.this.configuration, PoolScheduler::new,
					TwoChoicesPolicy::new, PlacementFleet.this.random);
			handle(PlacementOffer.class, (from, message) -> this.owner.onOffer(from, message, now()));
			handle(PlacementCancel.class, (from, message) -> this.owner.onCancel(message, now()));
			handle(PlacementEnd.class, (from, message) -> this.owner.onEnd(from, message, now()));
			handle(PlacementRenewal.class, (from, message) -> this.owner.onRenewal(from, message, now()));
			handle(PlacementReceipt.class, (from, message) -> this.client.onReceipt(from, message, now()));
			handle(PlacementGrant.class, (from, message) -> this.client.onGrant(from, message, now()));
			handle(PlacementRefusal.class, (from, message) -> this.client.onRefusal(from, message));
			handle(PlacementEndReceipt.class, (from, message) -> this.client.onEndReceipt(from, message));
		}

		private long now() {
			return PlacementFleet.this.nowNanos;
		}

		@Override
		public boolean isDead(String member, long memberIncarnation) {
			return false;
		}

		private void step() {
			this.client.step(now());
			this.owner.step(now());
			for (EngineNode engine : PlacementFleet.this.configuration.current().engines("m")) {
				this.owner.applyLoadReport("m", engine.id(), new EngineLoad(0, 0, 0, 0), now(), now());
			}
		}

		@Override
		public MembershipView view() {
			Map<String, Member> members = new TreeMap<>();
			PlacementFleet.this.vms.values()
				.forEach((vm) -> members.put(vm.vmId, new Member(vm.vmId, vm.incarnation, "a", false)));
			return new MembershipView(this.vmId, new TreeMap<>(members));
		}

		@Override
		public long incarnation() {
			return this.incarnation;
		}

		/** Sends the message, and duplicates one message in eight on average. */
		@Override
		public boolean send(String to, PeerMessage message) {
			if (PlacementFleet.this.random.nextInt(8) == 0) {
				this.transport.send(to, message);
			}
			return this.transport.send(to, message);
		}

		@Override
		public <M extends PeerMessage> void handle(Class<M> type, BiConsumer<String, M> handler) {
			this.transport.handle(type, handler);
		}

	}

}
