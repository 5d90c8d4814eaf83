package org.skylarkstack.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.skylarkstack.configuration.ConfigurationHolder;
import org.skylarkstack.engine.EngineLoad;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.membership.Member;
import org.skylarkstack.membership.Membership;
import org.skylarkstack.membership.MembershipView;
import org.skylarkstack.peer.PeerTransport;

/**
 * Owner side of the placement protocol, which schedules the requests that other VMs and
 * this VM offer. It does not check that this VM is the soft owner of a model: it
 * schedules every request that it is offered, because a wrong owner costs only
 * efficiency.
 *
 * <p>
 * Not thread-safe; called only by the thread of one duty.
 */
final class PlacementOwner {

	/** Period in which queued interactive requests are confirmed. */
	static final long INTERACTIVE_CONFIRM_PERIOD_NANOS = 15_000_000L;

	/** Period in which queued batch requests are confirmed. */
	static final long BATCH_CONFIRM_PERIOD_NANOS = 1_000_000_000L;

	private final Membership membership;

	private final PeerTransport transport;

	private final RandomGenerator random;

	private final PlacementPolicies policies;

	private final Map<String, Holder> holders = new HashMap<>();

	private final Map<String, Long> latestIncarnations = new HashMap<>();

	private final Set<String> seenInView = new HashSet<>();

	private long interactiveConfirmedNanos;

	private long batchConfirmedNanos;

	PlacementOwner(Membership membership, PeerTransport transport, ConfigurationHolder configuration,
			Supplier<PlacementPolicy> factory, RandomGenerator random) {
		this.membership = membership;
		this.transport = transport;
		this.random = random;
		this.policies = new PlacementPolicies(configuration, factory);
	}

	/**
	 * Returns the key whose soft owner schedules the requests of a model.
	 * @param model the name of the model
	 * @return the key for {@link MembershipView#softOwner}
	 */
	static String ownerKey(String model) {
		return "model/" + model;
	}

	void onOffer(String vmId, PlacementOffer offer, long nowNanos) {
		PlacementRequest request = offer.request();
		String holder = holder(vmId, offer.incarnation());
		this.transport.send(vmId, new PlacementReceipt(List.of(request.requestId())));
		PlacementPolicy policy = this.policies.of(request.model(), nowNanos);
		policy.offer(new OfferedRequest(request, holder, nowNanos - offer.ageNanos()), nowNanos);
		decide(policy, nowNanos);
	}

	private String holder(String vmId, long incarnation) {
		String holder = "%s.%x".formatted(vmId, incarnation);
		this.holders.put(holder, new Holder(vmId, incarnation));
		this.latestIncarnations.put(vmId, incarnation);
		return holder;
	}

	void onCancel(PlacementCancel cancel, long nowNanos) {
		PlacementPolicy policy = this.policies.of(cancel.model(), nowNanos);
		policy.cancel(cancel.requestId(), nowNanos);
		decide(policy, nowNanos);
	}

	void onEnd(String vmId, PlacementEnd end, long nowNanos) {
		PlacementPolicy policy = this.policies.of(end.model(), nowNanos);
		policy.release(end.requestId(), end.grantId(), end.release(), nowNanos);
		this.transport.send(vmId, new PlacementEndReceipt(end.requestId(), end.grantId()));
		decide(policy, nowNanos);
	}

	void onRenewal(String vmId, PlacementRenewal renewal, long nowNanos) {
		String holder = holder(vmId, renewal.incarnation());
		PlacementPolicy policy = this.policies.of(renewal.model(), nowNanos);
		renewal.held().forEach((held) -> policy.renew(held, holder, nowNanos));
	}

	void applyLoadReport(String model, String engineId, EngineLoad load, long readNanos, long nowNanos) {
		this.policies.of(model, nowNanos).applyLoadReport(engineId, load, readNanos, nowNanos);
	}

	void applyCacheEvent(String model, CacheEvent event, long nowNanos) {
		this.policies.of(model, nowNanos).applyCacheEvent(event);
	}

	/**
	 * Runs the periodic work: removes dead holders, decides about queued requests and
	 * sends receipts.
	 * @param nowNanos the current time in nanoseconds
	 */
	void step(long nowNanos) {
		freeDeadHolders(nowNanos);
		this.policies.all(nowNanos).values().forEach((policy) -> decide(policy, nowNanos));
		if (nowNanos - this.interactiveConfirmedNanos >= INTERACTIVE_CONFIRM_PERIOD_NANOS) {
			this.interactiveConfirmedNanos = nowNanos;
			confirm(RequestClass.INTERACTIVE, nowNanos);
		}
		if (nowNanos - this.batchConfirmedNanos >= BATCH_CONFIRM_PERIOD_NANOS) {
			this.batchConfirmedNanos = nowNanos;
			confirm(RequestClass.BATCH, nowNanos);
		}
	}

	private void freeDeadHolders(long nowNanos) {
		MembershipView view = this.membership.view();
		this.seenInView.addAll(view.members().keySet());
		for (Map.Entry<String, Holder> entry : List.copyOf(this.holders.entrySet())) {
			if (isDead(entry.getValue(), view)) {
				this.holders.remove(entry.getKey());
				this.policies.all(nowNanos).values().forEach((policy) -> policy.removeHolder(entry.getKey(), nowNanos));
			}
		}
	}

	/**
	 * Returns whether a daemon incarnation is dead. An incarnation that the view does not
	 * show yet counts as live, because its first placement message may arrive before its
	 * first heartbeat.
	 * @param holder the VM and incarnation
	 * @param view the membership view
	 * @return whether the incarnation is dead
	 */
	private boolean isDead(Holder holder, MembershipView view) {
		Member member = view.members().get(holder.vmId);
		if (member == null) {
			return this.seenInView.contains(holder.vmId);
		}
		return member.incarnation() != holder.incarnation
				&& this.latestIncarnations.getOrDefault(holder.vmId, 0L) != holder.incarnation;
	}

	private void confirm(RequestClass requestClass, long nowNanos) {
		Map<String, List<String>> waiting = new HashMap<>();
		for (PlacementPolicy policy : this.policies.all(nowNanos).values()) {
			for (OfferedRequest offered : policy.queued()) {
				Holder holder = this.holders.get(offered.holder());
				if (offered.request().requestClass() == requestClass && holder != null) {
					waiting.computeIfAbsent(holder.vmId, (vm) -> new ArrayList<>()).add(offered.request().requestId());
				}
			}
		}
		waiting.forEach((vmId, requestIds) -> this.transport.send(vmId, new PlacementReceipt(requestIds)));
	}

	private void decide(PlacementPolicy policy, long nowNanos) {
		for (PlacementDecision decision : policy.poll(nowNanos, this.random)) {
			Holder holder = this.holders.get(decision.holder());
			if (holder == null) {
				policy.cancel(decision.requestId(), nowNanos);
			}
			else if (decision.placement() != null) {
				this.transport.send(holder.vmId, new PlacementGrant(decision.placement(), decision.grantId()));
			}
			else {
				ErrorType reason = (decision.refusal() != null) ? decision.refusal() : ErrorType.NO_ENGINE;
				this.transport.send(holder.vmId, new PlacementRefusal(decision.requestId(), reason));
			}
		}
	}

	/**
	 * Returns whether this VM has queued or granted requests of a model.
	 * @param model the name of the model
	 * @param nowNanos the current time in nanoseconds
	 * @return whether there are any
	 */
	boolean isBusy(String model, long nowNanos) {
		PlacementPolicy policy = this.policies.all(nowNanos).get(model);
		return policy != null && (policy.grantCount() > 0 || !policy.queued().isEmpty());
	}

	int grantCount(String model, long nowNanos) {
		return this.policies.of(model, nowNanos).grantCount();
	}

	int queuedCount(String model, long nowNanos) {
		return this.policies.of(model, nowNanos).queued().size();
	}

	private record Holder(String vmId, long incarnation) {

	}

}
