package org.skylarkstack.schedule;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;

import org.skylarkstack.configuration.ConfigurationHolder;
import org.skylarkstack.engine.EngineLoad;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.membership.Membership;
import org.skylarkstack.membership.MembershipView;
import org.skylarkstack.peer.PeerTransport;

/**
 * Client side of the placement protocol, which requests engines for the requests of this
 * VM.
 *
 * <p>
 * Invariants:
 * <ul>
 * <li>A request is pending or placed, never both, and a placed request has exactly one
 * placement.</li>
 * <li>Every grant that arrives becomes the placement of its request, repeats that
 * placement, or is ended immediately.</li>
 * <li>The end of a placement is sent repeatedly to each VM that may have recorded the
 * grant until that VM confirms it or is no longer a live member.</li>
 * </ul>
 *
 * <p>
 * A pending request is handled as follows:
 * <ul>
 * <li>The owner confirms the offer immediately, and periodically while the request
 * waits.</li>
 * <li>If the soft owner of the model changes, the request is withdrawn from the former
 * owner and offered to the new one.</li>
 * <li>If no message from the owner arrives within the response timeout, the request is
 * withdrawn and this VM decides locally.</li>
 * </ul>
 *
 * <p>
 * Not thread-safe; called only by the thread of one duty.
 */
final class PlacementClient {

	/** Time without a message from the owner after which this VM decides locally. */
	static final long RESPONSE_TIMEOUT_NANOS = 50_000_000L;

	/** Response timeout of batch requests that the owner has confirmed. */
	static final long BATCH_RESPONSE_TIMEOUT_NANOS = 3 * PlacementOwner.BATCH_CONFIRM_PERIOD_NANOS;

	/** Time without a message from the owner after which an offer is repeated. */
	private static final long OFFER_REPEAT_NANOS = 25_000_000L;

	/** Period in which an end is sent again until the owner confirms it. */
	private static final long END_REPEAT_PERIOD_NANOS = 200_000_000L;

	/** Period in which grants are renewed; about a third of their term. */
	private static final long RENEW_PERIOD_NANOS = 3_000_000_000L;

	private final String vmId;

	private final Membership membership;

	private final PeerTransport transport;

	private final RandomGenerator random;

	private final boolean usesSharedQueue;

	private final PlacementPolicies localPolicies;

	private final Map<String, PendingRequest> pending = new LinkedHashMap<>();

	private final Map<String, PlacedRequest> placed = new LinkedHashMap<>();

	private final Map<EndKey, UnconfirmedEnd> ends = new LinkedHashMap<>();

	private long renewedNanos;

	/**
	 * Creates a client.
	 * @param vmId the identifier of this VM
	 * @param membership provides the live members
	 * @param transport sends messages to the owners
	 * @param configuration provides the engines of each model
	 * @param factory creates policies of the configured kind
	 * @param fallbackFactory creates the policies for local decisions if the configured
	 * policy uses a shared queue
	 * @param random the random number generator
	 */
	PlacementClient(String vmId, Membership membership, PeerTransport transport, ConfigurationHolder configuration,
			Supplier<PlacementPolicy> factory, Supplier<PlacementPolicy> fallbackFactory, RandomGenerator random) {
		this.vmId = vmId;
		this.membership = membership;
		this.transport = transport;
		this.random = random;
		this.usesSharedQueue = factory.get().usesSharedQueue();
		this.localPolicies = new PlacementPolicies(configuration, this.usesSharedQueue ? fallbackFactory : factory);
	}

	void offer(PlacementRequest request, CompletableFuture<Placement> result, long nowNanos) {
		PendingRequest entry = new PendingRequest(request, result, nowNanos);
		if (this.pending.containsKey(request.requestId()) || this.placed.containsKey(request.requestId())) {
			result.completeExceptionally(new IllegalArgumentException(
					"request %s is already pending or placed".formatted(request.requestId())));
			return;
		}
		this.pending.put(request.requestId(), entry);
		if (!this.usesSharedQueue) {
			decideLocally(entry, nowNanos);
			return;
		}
		offerToOwner(entry, nowNanos);
	}

	private void offerToOwner(PendingRequest entry, long nowNanos) {
		entry.owner = this.membership.view().softOwner(PlacementOwner.ownerKey(entry.request.model()));
		entry.lastContactNanos = nowNanos;
		entry.confirmed = false;
		sendOffer(entry, nowNanos);
	}

	private void sendOffer(PendingRequest entry, long nowNanos) {
		entry.offeredNanos = nowNanos;
		this.transport.send(entry.owner,
				new PlacementOffer(entry.request, this.membership.incarnation(), nowNanos - entry.arrivedNanos));
	}

	/**
	 * Withdraws a pending request whose caller no longer waits for it.
	 * @param requestId the identifier of the request
	 * @param nowNanos the current time in nanoseconds
	 */
	void cancel(String requestId, long nowNanos) {
		PendingRequest entry = this.pending.remove(requestId);
		if (entry != null) {
			withdraw(entry);
			this.localPolicies.of(entry.request.model(), nowNanos).cancel(requestId, nowNanos);
		}
	}

	private void withdraw(PendingRequest entry) {
		if (!entry.owner.isEmpty()) {
			this.transport.send(entry.owner, new PlacementCancel(entry.request.requestId(), entry.request.model()));
		}
	}

	void release(Placement placement, PlacementRelease release, long nowNanos) {
		PlacedRequest entry = this.placed.remove(placement.requestId());
		if (entry == null) {
			return;
		}
		if (entry.decidedLocally) {
			this.localPolicies.of(placement.model(), nowNanos)
				.release(placement.requestId(), entry.grantId, release, nowNanos);
		}
		entry.owners.forEach((owner) -> sendEnd(owner, placement, entry.grantId, release, nowNanos));
	}

	private void sendEnd(String owner, Placement placement, long grantId, PlacementRelease release, long nowNanos) {
		EndKey key = new EndKey(owner, placement.requestId(), grantId);
		PlacementEnd message = new PlacementEnd(placement.requestId(), placement.model(), grantId, release);
		if (this.ends.putIfAbsent(key, new UnconfirmedEnd(message, nowNanos)) == null) {
			this.transport.send(owner, message);
		}
	}

	void onReceipt(String from, PlacementReceipt receipt, long nowNanos) {
		for (String requestId : receipt.requestIds()) {
			PendingRequest entry = this.pending.get(requestId);
			if (entry != null && entry.owner.equals(from)) {
				entry.lastContactNanos = nowNanos;
				entry.confirmed = true;
			}
		}
	}

	void onGrant(String from, PlacementGrant grant, long nowNanos) {
		Placement placement = grant.placement();
		PlacedRequest known = this.placed.get(placement.requestId());
		if (known != null && !known.decidedLocally && known.grantId == grant.grantId() && known.owner.equals(from)) {
			return;
		}
		if (this.ends.containsKey(new EndKey(from, placement.requestId(), grant.grantId()))) {
			return;
		}
		PendingRequest entry = this.pending.remove(placement.requestId());
		if (entry == null) {
			sendEnd(from, placement, grant.grantId(), new PlacementRelease(0, ""), nowNanos);
			return;
		}
		if (!entry.owner.equals(from)) {
			withdraw(entry);
		}
		place(entry, placement, new PlacedRequest(entry.request, placement, from, grant.grantId(), false), nowNanos);
	}

	private void place(PendingRequest entry, Placement placement, PlacedRequest result, long nowNanos) {
		this.placed.put(placement.requestId(), result);
		if (!entry.result.complete(placement)) {
			release(placement, new PlacementRelease(0, ""), nowNanos);
		}
	}

	void onRefusal(String from, PlacementRefusal refusal) {
		PendingRequest entry = this.pending.get(refusal.requestId());
		if (entry != null && entry.owner.equals(from)) {
			this.pending.remove(refusal.requestId());
			entry.result.completeExceptionally(error(entry.request, refusal.reason()));
		}
	}

	private static RouterException error(PlacementRequest request, ErrorType reason) {
		Object argument = switch (reason) {
			case QUEUE_FULL -> request.teamId();
			case NO_ENGINE -> request.model();
			default -> (request.requestClass().mayExceedFirstTokenTarget() ? request.waitNanos()
					: SchedulerOptions.DEFAULT.firstTokenTargetNanos()) / 1_000_000L;
		};
		return new RouterException(reason, argument);
	}

	void onEndReceipt(String from, PlacementEndReceipt receipt) {
		this.ends.remove(new EndKey(from, receipt.requestId(), receipt.grantId()));
	}

	void applyLoadReport(String model, String engineId, EngineLoad load, long readNanos, long nowNanos) {
		if (!this.usesSharedQueue) {
			this.localPolicies.of(model, nowNanos).applyLoadReport(engineId, load, readNanos, nowNanos);
		}
	}

	/**
	 * Runs the periodic work: handles owner changes and missing responses, repeats
	 * unconfirmed ends and renews grants.
	 * @param nowNanos the current time in nanoseconds
	 */
	void step(long nowNanos) {
		MembershipView view = this.membership.view();
		for (PendingRequest entry : List.copyOf(this.pending.values())) {
			if (entry.result.isDone()) {
				cancel(entry.request.requestId(), nowNanos);
			}
			else if (entry.owner.isEmpty()) {
				decideLocally(entry, nowNanos);
			}
			else {
				checkOwner(entry, view, nowNanos);
			}
		}
		repeatEnds(view, nowNanos);
		if (this.usesSharedQueue && nowNanos - this.renewedNanos >= RENEW_PERIOD_NANOS) {
			this.renewedNanos = nowNanos;
			renew(view);
		}
	}

	private void checkOwner(PendingRequest entry, MembershipView view, long nowNanos) {
		String owner = view.softOwner(PlacementOwner.ownerKey(entry.request.model()));
		boolean confirmedBatch = entry.confirmed && entry.request.requestClass().mayExceedFirstTokenTarget();
		if (!owner.equals(entry.owner)) {
			withdraw(entry);
			offerToOwner(entry, nowNanos);
		}
		else if (nowNanos
				- entry.lastContactNanos >= (confirmedBatch ? BATCH_RESPONSE_TIMEOUT_NANOS : RESPONSE_TIMEOUT_NANOS)) {
			withdraw(entry);
			entry.owner = "";
			decideLocally(entry, nowNanos);
		}
		else if (nowNanos - Math.max(entry.lastContactNanos, entry.offeredNanos) >= (confirmedBatch
				? PlacementOwner.BATCH_CONFIRM_PERIOD_NANOS + RESPONSE_TIMEOUT_NANOS : OFFER_REPEAT_NANOS)) {
			sendOffer(entry, nowNanos);
		}
	}

	private void decideLocally(PendingRequest entry, long nowNanos) {
		PlacementPolicy policy = this.localPolicies.of(entry.request.model(), nowNanos);
		policy.offer(new OfferedRequest(entry.request, this.vmId, entry.arrivedNanos), nowNanos);
		for (PlacementDecision decision : policy.poll(nowNanos, this.random)) {
			PendingRequest decided = this.pending.remove(decision.requestId());
			if (decided == null) {
				policy.cancel(decision.requestId(), nowNanos);
			}
			else if (decision.placement() != null) {
				place(decided, decision.placement(),
						new PlacedRequest(decided.request, decision.placement(), "", decision.grantId(), true),
						nowNanos);
			}
			else {
				ErrorType reason = (decision.refusal() != null) ? decision.refusal() : ErrorType.NO_ENGINE;
				decided.result.completeExceptionally(error(decided.request, reason));
			}
		}
	}

	private void repeatEnds(MembershipView view, long nowNanos) {
		this.ends.keySet().removeIf((key) -> !view.isLive(key.owner));
		this.ends.forEach((key, end) -> {
			if (nowNanos - end.sentNanos >= END_REPEAT_PERIOD_NANOS) {
				end.sentNanos = nowNanos;
				this.transport.send(key.owner, end.message);
			}
		});
	}

	private void renew(MembershipView view) {
		Map<String, List<HeldPlacement>> byModel = new HashMap<>();
		for (PlacedRequest entry : this.placed.values()) {
			PlacementRequest request = entry.request;
			entry.owners.add(view.softOwner(PlacementOwner.ownerKey(request.model())));
			byModel.computeIfAbsent(request.model(), (model) -> new ArrayList<>())
				.add(new HeldPlacement(request.requestId(), entry.grantId, entry.placement.prefillEngineId(),
						entry.placement.decodeEngineId(), request.teamId(), request.weight(),
						PoolScheduler.pieces(request), request.isolated()));
		}
		byModel.forEach((model, held) -> this.transport.send(view.softOwner(PlacementOwner.ownerKey(model)),
				new PlacementRenewal(model, this.membership.incarnation(), held)));
	}

	int pendingCount() {
		return this.pending.size();
	}

	int unconfirmedEndCount() {
		return this.ends.size();
	}

	private static final class PendingRequest {

		private final PlacementRequest request;

		private final CompletableFuture<Placement> result;

		private final long arrivedNanos;

		/** The VM that the request was offered to; empty if this VM decides locally. */
		private String owner = "";

		private long lastContactNanos;

		private long offeredNanos;

		private boolean confirmed;

		PendingRequest(PlacementRequest request, CompletableFuture<Placement> result, long arrivedNanos) {
			this.request = request;
			this.result = result;
			this.arrivedNanos = arrivedNanos;
		}

	}

	private static final class PlacedRequest {

		private final PlacementRequest request;

		private final Placement placement;

		private final String owner;

		private final long grantId;

		private final boolean decidedLocally;

		private final Set<String> owners = new LinkedHashSet<>();

		PlacedRequest(PlacementRequest request, Placement placement, String owner, long grantId,
				boolean decidedLocally) {
			this.request = request;
			this.placement = placement;
			this.owner = owner;
			this.grantId = grantId;
			this.decidedLocally = decidedLocally;
			if (!decidedLocally) {
				this.owners.add(owner);
			}
		}

	}

	private static final class UnconfirmedEnd {

		private final PlacementEnd message;

		private long sentNanos;

		UnconfirmedEnd(PlacementEnd message, long sentNanos) {
			this.message = message;
			this.sentNanos = sentNanos;
		}

	}

	private record EndKey(String owner, String requestId, long grantId) {

	}

}
