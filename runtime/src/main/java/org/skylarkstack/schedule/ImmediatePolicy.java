package org.skylarkstack.schedule;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.configuration.EngineNode;
import org.skylarkstack.engine.EngineLoad;
import org.skylarkstack.kernel.ErrorType;

/**
 * Base class of the policies with which each VM decides immediately about its own
 * requests without asking another VM. It counts the requests of this VM on each engine
 * and keeps the last load reports.
 */
abstract class ImmediatePolicy implements PlacementPolicy {

	private final Map<String, HeldPlacement> grants = new LinkedHashMap<>();

	private final Map<String, OfferedRequest> queued = new LinkedHashMap<>();

	private final Map<String, Integer> inFlight = new HashMap<>();

	private final Map<String, EngineLoad> loads = new HashMap<>();

	private List<EngineNode> engines = List.of();

	private long nextGrantId;

	/**
	 * Chooses an engine.
	 * @param candidates the engines that may take the request, at least one
	 * @param prefill {@code true} to choose the prefill engine, {@code false} to choose
	 * the decode engine
	 * @param random the random number generator
	 * @return one of the candidates
	 */
	abstract EngineNode choose(List<EngineNode> candidates, boolean prefill, RandomGenerator random);

	@Override
	public boolean usesSharedQueue() {
		return false;
	}

	@Override
	public void setEngines(List<EngineNode> changed, long nowNanos) {
		this.engines = List.copyOf(changed);
	}

	@Override
	public void offer(OfferedRequest offered, long nowNanos) {
		if (!this.grants.containsKey(offered.request().requestId())) {
			this.queued.put(offered.request().requestId(), offered);
		}
	}

	@Override
	public void cancel(String requestId, long nowNanos) {
		this.queued.remove(requestId);
		removeGrant(requestId);
	}

	@Override
	public void release(String requestId, long grantId, PlacementRelease release, long nowNanos) {
		HeldPlacement held = this.grants.get(requestId);
		if (held != null && held.grantId() == grantId) {
			removeGrant(requestId);
		}
	}

	private void removeGrant(String requestId) {
		HeldPlacement held = this.grants.remove(requestId);
		if (held != null) {
			this.inFlight.merge(held.prefillEngineId(), -1, Integer::sum);
			this.inFlight.merge(held.decodeEngineId(), -1, Integer::sum);
		}
	}

	@Override
	public void renew(HeldPlacement held, String holder, long nowNanos) {
		// Grants that a VM makes to itself do not expire.
	}

	@Override
	public void applyLoadReport(String engineId, EngineLoad load, long readNanos, long nowNanos) {
		this.loads.put(engineId, load);
	}

	@Override
	public void applyCacheEvent(CacheEvent event) {
		// These policies do not use the prefix caches.
	}

	@Override
	public void removeHolder(String holder, long nowNanos) {
		// All requests are from this VM, so no grant has another holder.
	}

	@Override
	public List<PlacementDecision> poll(long nowNanos, RandomGenerator random) {
		List<PlacementDecision> decisions = new ArrayList<>();
		for (OfferedRequest offered : List.copyOf(this.queued.values())) {
			PlacementDecision decision = decide(offered, nowNanos, random);
			if (decision != null) {
				this.queued.remove(decision.requestId());
				decisions.add(decision);
			}
		}
		return decisions;
	}

	/**
	 * Decides about a request.
	 * @param offered the request
	 * @param nowNanos the current time in nanoseconds
	 * @param random the random number generator
	 * @return the decision, or {@code null} to keep the request queued
	 */
	@Nullable PlacementDecision decide(OfferedRequest offered, long nowNanos, RandomGenerator random) {
		boolean isolated = offered.request().isolated();
		List<EngineNode> prefills = isolated ? withoutIsolatedRequests(candidates(true)) : candidates(true);
		List<EngineNode> decodes = isolated ? withoutIsolatedRequests(candidates(false)) : candidates(false);
		if (prefills.isEmpty() || decodes.isEmpty()) {
			return PlacementDecision.refuse(offered, ErrorType.NO_ENGINE);
		}
		return grant(offered, choose(prefills, true, random), choose(decodes, false, random));
	}

	private List<EngineNode> withoutIsolatedRequests(List<EngineNode> candidates) {
		return candidates.stream()
			.filter((engine) -> this.grants.values()
				.stream()
				.noneMatch((held) -> held.isolated()
						&& (held.prefillEngineId().equals(engine.id()) || held.decodeEngineId().equals(engine.id()))))
			.toList();
	}

	PlacementDecision grant(OfferedRequest offered, EngineNode prefill, EngineNode decode) {
		PlacementRequest request = offered.request();
		HeldPlacement held = new HeldPlacement(request.requestId(), ++this.nextGrantId, prefill.id(), decode.id(),
				request.teamId(), request.weight(), PoolScheduler.pieces(request), request.isolated());
		this.grants.put(request.requestId(), held);
		this.inFlight.merge(prefill.id(), 1, Integer::sum);
		this.inFlight.merge(decode.id(), 1, Integer::sum);
		return PlacementDecision.grant(offered, held.grantId(), prefill.id(), decode.id());
	}

	List<EngineNode> candidates(boolean prefill) {
		return this.engines.stream()
			.filter((engine) -> !engine.leaving())
			.filter((engine) -> prefill ? engine.role().prefills() : engine.role().decodes())
			.toList();
	}

	int inFlight(EngineNode engine) {
		return this.inFlight.getOrDefault(engine.id(), 0);
	}

	EngineLoad load(EngineNode engine) {
		return this.loads.getOrDefault(engine.id(), new EngineLoad(0, 0, 0, 0));
	}

	@Override
	public List<OfferedRequest> queued() {
		return Collections.unmodifiableList(new ArrayList<>(this.queued.values()));
	}

	@Override
	public int grantCount() {
		return this.grants.size();
	}

}
