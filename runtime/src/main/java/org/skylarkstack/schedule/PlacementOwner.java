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
 * Soft owner's side of placement: schedules the models whose requests arrive here. It
 * does not check that this VM is the owner; a sender that thinks so is served, because a
 * wrong owner costs efficiency only.
 *
 * <p>
 * Not thread-safe; one duty calls it.
 */
final class PlacementOwner {

	/** Period of confirmations to interactive requests in the queue. */
	static final long INTERACTIVE_CONFIRM_PERIOD_NANOS = 15_000_000L;

	/** Period of confirmations to batch requests in the queue. */
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
	 * Returns the key whose soft owner schedules a model.
	 * @param model the model
	 * @return the key
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

	void loadReport(String model, String engineId, EngineLoad load, long readNanos, long nowNanos) {
		this.policies.of(model, nowNanos).loadReport(engineId, load, readNanos, nowNanos);
	}

	void cacheEvent(String model, CacheEvent event, long nowNanos) {
		this.policies.of(model, nowNanos).cacheEvent(event);
	}

	/**
	 * Runs the periodic part: dead holders, waiting requests, confirmations.
	 * @param nowNanos the present time
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
	 * Returns whether an incarnation is dead. A daemon that the view does not show yet is
	 * alive: its first message may precede its first heartbeat.
	 * @param holder the VM and incarnation
	 * @param view the membership view
	 * @return whether it is dead
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
	 * Returns whether requests of a model wait or run here.
	 * @param model the model
	 * @param nowNanos the present time
	 * @return whether there are any
	 */
	boolean isBusy(String model, long nowNanos) {
		PlacementPolicy policy = this.policies.all(nowNanos).get(model);
		return policy != null && (policy.grantCount() > 0 || !policy.queued().isEmpty());
	}

	/**
	 * Returns the number of grants that are not released.
	 * @param model the model
	 * @param nowNanos the present time
	 * @return the count
	 */
	int grantCount(String model, long nowNanos) {
		return this.policies.of(model, nowNanos).grantCount();
	}

	/**
	 * Returns the number of requests in the queue.
	 * @param model the model
	 * @param nowNanos the present time
	 * @return the count
	 */
	int queuedCount(String model, long nowNanos) {
		return this.policies.of(model, nowNanos).queued().size();
	}

	private record Holder(String vmId, long incarnation) {

	}

}
