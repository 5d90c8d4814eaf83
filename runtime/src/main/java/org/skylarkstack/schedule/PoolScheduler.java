package org.skylarkstack.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.configuration.EngineNode;
import org.skylarkstack.engine.EngineLoad;
import org.skylarkstack.kernel.ErrorType;

/**
 * Policy that schedules the requests of all VMs on the engines of one model.
 *
 * <p>
 * Invariants:
 * <ul>
 * <li>A request is in exactly one state: queued, granted or unknown.</li>
 * <li>A grant reserves a decode slot and the memory pieces for its prompt and its maximum
 * output. The reservation starts before the prefill and lasts until the grant is released
 * or its term ends.</li>
 * <li>A team without queued requests and grants has no state, unless its finish tag is
 * ahead of the virtual time while requests of other teams wait.</li>
 * </ul>
 *
 * <p>
 * Order: start-time fair queueing over teams. Each grant raises the finish tag of its
 * team by the cost of its tokens in engine milliseconds, divided by the team's weight.
 * The team with the lowest finish tag is served next. The virtual time is the tag of the
 * team served last, and a team that becomes active starts at the virtual time. A grant is
 * charged an estimated cost; its release replaces the estimate by the cost of the tokens
 * served.
 *
 * <p>
 * A request at the head of its team's queue is handled as follows:
 * <ul>
 * <li>Interactive, and no engine pair can produce the first token in time: it is
 * refused.</li>
 * <li>Interactive, and an engine pair is free: it is granted.</li>
 * <li>Interactive, and a pair could meet the target but has no free decode slot, too
 * little free memory or too much prefill backlog: it waits. A lack of decode slots or
 * prefill capacity also blocks the requests of all teams after it; a lack of memory
 * pieces only holds back its own team.</li>
 * <li>Batch: it waits until no interactive request waits and an engine pair has enough
 * spare capacity. Near its deadline it competes like an interactive request; after its
 * deadline it is refused.</li>
 * </ul>
 * The estimated time to first token is the sum of the prefill backlog, the prefill of the
 * part of the prompt that is not cached, the wait for the transfer link, the transfer and
 * the first decode step.
 */
public final class PoolScheduler implements PlacementPolicy {

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	private static final double MILLIS_PER_SECOND = 1_000.0;

	/**
	 * Smoothing factor of the exponential moving average of the share of the maximum
	 * output that requests use.
	 */
	private static final double OUTPUT_SHARE_SMOOTHING = 0.05;

	/**
	 * Penalty of a full decode engine compared with an empty one, in nanoseconds. A
	 * decode step takes longer the more requests the engine decodes.
	 */
	private static final double OCCUPANCY_PENALTY_NANOS = 30_000_000;

	/**
	 * Age up to which a batch request that lacks memory may be bypassed by smaller ones;
	 * later they wait for it.
	 */
	private static final long MAX_BYPASS_NANOS = 5_000_000_000L;

	private final SchedulerOptions options;

	private final Map<String, EngineEstimate> engines = new LinkedHashMap<>();

	private final Map<String, TeamQueue> teams = new HashMap<>();

	private final Map<String, OfferedRequest> queued = new LinkedHashMap<>();

	private final Map<String, ActiveGrant> grants = new LinkedHashMap<>();

	private final Map<String, Long> linkFreeNanos = new HashMap<>();

	private final List<PlacementDecision> undelivered = new ArrayList<>();

	private double virtualTime;

	private double outputShare = 0.5;

	private long nextGrantId;

	/** Creates a scheduler with the default options. */
	public PoolScheduler() {
		this(SchedulerOptions.DEFAULT);
	}

	/**
	 * Creates a scheduler.
	 * @param options the targets, limits and estimates to use
	 */
	public PoolScheduler(SchedulerOptions options) {
		this.options = options;
	}

	@Override
	public boolean usesSharedQueue() {
		return true;
	}

	@Override
	public void setEngines(List<EngineNode> nodes, long nowNanos) {
		Set<String> present = new HashSet<>();
		for (EngineNode node : nodes) {
			present.add(node.id());
			EngineEstimate estimate = this.engines.get(node.id());
			if (estimate != null && estimate.node().url().equals(node.url())) {
				estimate.node(node);
			}
			else {
				this.engines.put(node.id(), new EngineEstimate(node, this.options, nowNanos));
			}
		}
		this.engines.keySet().retainAll(present);
	}

	@Override
	public void offer(OfferedRequest offered, long nowNanos) {
		PlacementRequest request = offered.request();
		ActiveGrant granted = this.grants.get(request.requestId());
		if (granted != null) {
			this.undelivered.add(PlacementDecision.grant(offered, granted.held.grantId(),
					granted.held.prefillEngineId(), granted.held.decodeEngineId()));
			return;
		}
		if (this.queued.containsKey(request.requestId())) {
			return;
		}
		TeamQueue team = team(request.teamId(), request.weight());
		if (team.size() >= this.options.maxQueuedPerTeam() || this.queued.size() >= this.options.maxQueued()) {
			this.undelivered.add(PlacementDecision.refuse(offered, ErrorType.QUEUE_FULL));
			dropIfIdle(team);
			return;
		}
		this.queued.put(request.requestId(), offered);
		team.queue(request.requestClass()).addLast(offered);
	}

	private TeamQueue team(String teamId, double weight) {
		TeamQueue team = this.teams.computeIfAbsent(teamId, TeamQueue::new);
		if (team.size() == 0) {
			team.finishTag = Math.max(team.finishTag, this.virtualTime);
		}
		team.weight = weight;
		return team;
	}

	private void dropIfIdle(TeamQueue team) {
		if (team.isIdle() && (team.finishTag <= this.virtualTime || this.queued.isEmpty())) {
			this.teams.remove(team.teamId);
		}
	}

	@Override
	public void cancel(String requestId, long nowNanos) {
		OfferedRequest offered = this.queued.get(requestId);
		if (offered != null) {
			dequeue(offered);
		}
		ActiveGrant grant = this.grants.get(requestId);
		if (grant != null) {
			removeGrant(grant, 0, nowNanos);
		}
	}

	private void dequeue(OfferedRequest offered) {
		PlacementRequest request = offered.request();
		this.queued.remove(request.requestId());
		TeamQueue team = this.teams.get(request.teamId());
		if (team != null) {
			team.queue(request.requestClass()).remove(offered);
			dropIfIdle(team);
		}
	}

	@Override
	public void release(String requestId, long grantId, PlacementRelease release, long nowNanos) {
		ActiveGrant grant = this.grants.get(requestId);
		if (grant == null || grant.held.grantId() != grantId) {
			return;
		}
		double outputTokens = Math.max(0, release.servedTokens() - grant.promptTokens);
		double servedCost = 0;
		if (release.servedTokens() > 0) {
			servedCost = cost(grant.promptTokens, outputTokens);
			this.outputShare += OUTPUT_SHARE_SMOOTHING
					* (outputTokens / Math.max(1, grant.maxOutputTokens) - this.outputShare);
			this.outputShare = Math.min(1, Math.max(0, this.outputShare));
		}
		removeGrant(grant, servedCost, nowNanos);
		for (String engineId : List.of(grant.held.prefillEngineId(), grant.held.decodeEngineId())) {
			EngineEstimate engine = this.engines.get(engineId);
			if (engine != null && engineId.equals(release.failedEngineId())) {
				engine.recordFailure(nowNanos);
			}
			else if (engine != null && release.servedTokens() > 0) {
				engine.recordSuccess();
			}
		}
	}

	private void removeGrant(ActiveGrant grant, double servedCost, long nowNanos) {
		this.grants.remove(grant.held.requestId());
		EngineEstimate prefill = this.engines.get(grant.held.prefillEngineId());
		if (prefill != null) {
			prefill.removePrefill(grant, nowNanos);
		}
		EngineEstimate decode = this.engines.get(grant.held.decodeEngineId());
		if (decode != null) {
			decode.removeDecode(grant, nowNanos);
		}
		TeamQueue team = this.teams.get(grant.held.teamId());
		if (team != null) {
			team.grantCount--;
			team.finishTag += (servedCost - grant.charge) / team.weight;
			dropIfIdle(team);
		}
	}

	/**
	 * Returns the cost of a request: the time of its prefill, at the speed of the first
	 * prefill engine, plus the time of its decode.
	 * @param promptTokens the number of prompt tokens
	 * @param outputTokens the number of output tokens
	 * @return the cost in engine milliseconds
	 */
	private double cost(double promptTokens, double outputTokens) {
		int tokensPerSecond = this.engines.values()
			.stream()
			.map(EngineEstimate::node)
			.filter((node) -> node.role().prefills())
			.mapToInt(EngineNode::prefillTokensPerSecond)
			.findFirst()
			.orElse(1);
		return promptTokens * MILLIS_PER_SECOND / tokensPerSecond + outputTokens * this.options.decodeMillisPerToken();
	}

	@Override
	public void renew(HeldPlacement held, String holder, long nowNanos) {
		ActiveGrant known = this.grants.get(held.requestId());
		if (known != null) {
			known.expiresNanos = nowNanos + this.options.grantTermNanos();
			return;
		}
		OfferedRequest offered = this.queued.get(held.requestId());
		if (offered != null) {
			dequeue(offered);
		}
		ActiveGrant grant = new ActiveGrant(held, holder, 0, 0, 0, nowNanos, 0, false);
		EngineEstimate prefill = this.engines.get(held.prefillEngineId());
		if (prefill != null) {
			prefill.markIsolated(grant);
		}
		addGrant(grant, held.weight(), nowNanos);
	}

	private void addGrant(ActiveGrant grant, double weight, long nowNanos) {
		EngineEstimate decode = this.engines.get(grant.held.decodeEngineId());
		if (decode != null) {
			decode.addDecode(grant, nowNanos);
		}
		grant.expiresNanos = nowNanos + this.options.grantTermNanos();
		this.grants.put(grant.held.requestId(), grant);
		team(grant.held.teamId(), weight).grantCount++;
	}

	@Override
	public void applyLoadReport(String engineId, EngineLoad load, long readNanos, long nowNanos) {
		EngineEstimate engine = this.engines.get(engineId);
		if (engine != null) {
			engine.applyReport(load, readNanos);
		}
	}

	@Override
	public void applyCacheEvent(CacheEvent event) {
		EngineEstimate engine = this.engines.get(event.engineId());
		if (engine != null) {
			engine.prefixes().apply(event);
		}
	}

	@Override
	public void removeHolder(String holder, long nowNanos) {
		List.copyOf(this.queued.values())
			.stream()
			.filter((offered) -> offered.holder().equals(holder))
			.forEach(this::dequeue);
		List.copyOf(this.grants.values())
			.stream()
			.filter((grant) -> grant.holder.equals(holder))
			.forEach((grant) -> removeGrant(grant, 0, nowNanos));
	}

	@Override
	public List<PlacementDecision> poll(long nowNanos, RandomGenerator random) {
		expireGrants(nowNanos);
		refuseExpired(nowNanos);
		boolean noneWaiting = serve((team) -> urgentHead(team, nowNanos), nowNanos, random);
		if (noneWaiting) {
			serve((team) -> team.batch.peekFirst(), nowNanos, random);
		}
		List<PlacementDecision> decisions = List.copyOf(this.undelivered);
		this.undelivered.clear();
		return decisions;
	}

	private void expireGrants(long nowNanos) {
		List.copyOf(this.grants.values())
			.stream()
			.filter((grant) -> nowNanos >= grant.expiresNanos)
			.forEach((grant) -> removeGrant(grant, grant.charge, nowNanos));
		this.teams.values()
			.removeIf((team) -> team.isIdle() && (team.finishTag <= this.virtualTime || this.queued.isEmpty()));
	}

	private void refuseExpired(long nowNanos) {
		for (OfferedRequest offered : List.copyOf(this.queued.values())) {
			if (nowNanos > offered.deadlineNanos(this.options.firstTokenTargetNanos())) {
				refuse(offered, ErrorType.DEADLINE_UNREACHABLE);
			}
		}
	}

	private void refuse(OfferedRequest offered, ErrorType reason) {
		dequeue(offered);
		this.undelivered.add(PlacementDecision.refuse(offered, reason));
	}

	private @Nullable OfferedRequest urgentHead(TeamQueue team, long nowNanos) {
		OfferedRequest batch = team.batch.peekFirst();
		if (batch != null && batch.deadlineNanos(0) - nowNanos < urgencyWindowNanos(batch)) {
			return batch;
		}
		return team.interactive.peekFirst();
	}

	private long urgencyWindowNanos(OfferedRequest batch) {
		return Math.min(this.options.batchUrgentNanos(), batch.request().waitNanos() / 4);
	}

	/**
	 * Serves the selected requests of the teams in fair order.
	 * @param selector selects the request of a team that is served next
	 * @param nowNanos the current time in nanoseconds
	 * @param random the random number generator
	 * @return whether no selected request is left waiting
	 */
	private boolean serve(HeadSelector selector, long nowNanos, RandomGenerator random) {
		Set<String> skippedTeamIds = new HashSet<>();
		while (true) {
			TeamQueue team = nextTeam(selector, skippedTeamIds);
			if (team == null) {
				return skippedTeamIds.isEmpty();
			}
			OfferedRequest head = selector.select(team);
			if (head == null) {
				return skippedTeamIds.isEmpty();
			}
			Outcome outcome = tryPlace(head, team, nowNanos, random);
			if (outcome == Outcome.BLOCKED) {
				return false;
			}
			if (outcome == Outcome.NO_MEMORY) {
				if (head.request().requestClass().mayExceedFirstTokenTarget()
						&& nowNanos - head.arrivedNanos() > MAX_BYPASS_NANOS) {
					return false;
				}
				skippedTeamIds.add(team.teamId);
			}
		}
	}

	private @Nullable TeamQueue nextTeam(HeadSelector selector, Set<String> skippedTeamIds) {
		return this.teams.values()
			.stream()
			.filter((team) -> selector.select(team) != null && !skippedTeamIds.contains(team.teamId))
			.min(Comparator.comparingDouble((TeamQueue team) -> team.finishTag).thenComparing((team) -> team.teamId))
			.orElse(null);
	}

	private Outcome tryPlace(OfferedRequest head, TeamQueue team, long nowNanos, RandomGenerator random) {
		PlacementRequest request = head.request();
		List<EngineEstimate> prefills = candidates((node) -> node.role().prefills(), request, nowNanos);
		List<EngineEstimate> decodes = candidates((node) -> node.role().decodes(), request, nowNanos);
		boolean batch = request.requestClass().mayExceedFirstTokenTarget();
		if (prefills.isEmpty() || decodes.isEmpty()) {
			if (!batch) {
				refuse(head, ErrorType.NO_ENGINE);
				return Outcome.REFUSED;
			}
			return Outcome.BLOCKED;
		}
		EnginePair best = bestPair(request, prefills, decodes, nowNanos, random);
		if (!batch && best.firstTokenNanos > head.deadlineNanos(this.options.firstTokenTargetNanos())
				- this.options.firstTokenMarginNanos()) {
			refuse(head, ErrorType.DEADLINE_UNREACHABLE);
			return Outcome.REFUSED;
		}
		int pieces = pieces(request);
		boolean urgent = !batch || head.deadlineNanos(0) - nowNanos < urgencyWindowNanos(head);
		int slotReserve = urgent ? 0 : this.options.batchSlotReserve();
		List<EngineEstimate> withFreeSlots = decodes.stream()
			.filter((engine) -> engine.freeSlots() > slotReserve)
			.toList();
		List<EngineEstimate> withPrefillCapacity = prefills.stream()
			.filter((engine) -> hasPrefillCapacity(engine, nowNanos))
			.toList();
		if (withFreeSlots.isEmpty() || withPrefillCapacity.isEmpty()
				|| (batch && tooManyBatchPrefills(prefills, nowNanos))) {
			return Outcome.BLOCKED;
		}
		List<EngineEstimate> withFreeMemory = withFreeSlots.stream()
			.filter((engine) -> engine.freePieces() >= pieces)
			.toList();
		if (withFreeMemory.isEmpty()) {
			return Outcome.NO_MEMORY;
		}
		EnginePair chosen = bestPair(request, withPrefillCapacity, withFreeMemory, nowNanos, random);
		boolean tooLate = !batch && chosen.firstTokenNanos > head.deadlineNanos(this.options.firstTokenTargetNanos())
				- this.options.firstTokenMarginNanos();
		if (tooLate || chosen.transferEndNanos - chosen.prefillEndNanos > this.options.prefillResultLifetimeNanos()) {
			return Outcome.BLOCKED;
		}
		grant(head, team, chosen, pieces, nowNanos);
		return Outcome.GRANTED;
	}

	private boolean hasPrefillCapacity(EngineEstimate engine, long nowNanos) {
		return engine.prefillStartNanos(nowNanos) - nowNanos <= this.options.prefillLookaheadNanos();
	}

	private boolean tooManyBatchPrefills(Collection<EngineEstimate> prefills, long nowNanos) {
		long running = prefills.stream().filter((engine) -> engine.runsBatchPrefill(nowNanos)).count();
		return running >= Math.max(1, Math.floor(prefills.size() * this.options.batchMaxPrefillShare()));
	}

	private List<EngineEstimate> candidates(Predicate<EngineNode> role, PlacementRequest request, long nowNanos) {
		return this.engines.values()
			.stream()
			.filter((engine) -> role.test(engine.node()) && engine.acceptsRequest(request.isolated(), nowNanos))
			.toList();
	}

	private EnginePair bestPair(PlacementRequest request, List<EngineEstimate> prefills, List<EngineEstimate> decodes,
			long nowNanos, RandomGenerator random) {
		EnginePair best = null;
		for (EngineEstimate prefill : prefills) {
			for (EngineEstimate decode : decodes) {
				EnginePair pair = pair(request, prefill, decode, nowNanos, random);
				if (best == null || pair.score < best.score) {
					best = pair;
				}
			}
		}
		if (best == null) {
			throw new IllegalArgumentException("no engines to choose from");
		}
		return best;
	}

	private EnginePair pair(PlacementRequest request, EngineEstimate prefill, EngineEstimate decode, long nowNanos,
			RandomGenerator random) {
		long prefillEnd = prefill.prefillStartNanos(nowNanos) + prefill.prefillNanos(request);
		long transferEnd = prefillEnd;
		if (prefill != decode) {
			long linkFree = this.linkFreeNanos.getOrDefault(link(prefill.node(), decode.node()), prefillEnd);
			transferEnd = Math.max(prefillEnd, linkFree)
					+ transferNanos(request.promptTokens(), prefill.node(), decode.node());
		}
		long firstToken = transferEnd + this.options.firstDecodeNanos();
		double score = firstToken - nowNanos + decode.occupancy() * OCCUPANCY_PENALTY_NANOS + random.nextDouble();
		return new EnginePair(prefill, decode, prefillEnd, transferEnd, firstToken, score);
	}

	private long transferNanos(int promptTokens, EngineNode prefill, EngineNode decode) {
		double rate = prefill.dataCentre().equals(decode.dataCentre()) ? this.options.transferTokensPerSecond()
				: this.options.remoteTransferTokensPerSecond();
		return this.options.transferSetupNanos() + (long) (promptTokens / rate * NANOS_PER_SECOND);
	}

	private static String link(EngineNode prefill, EngineNode decode) {
		return prefill.dataCentre().equals(decode.dataCentre()) ? prefill.id()
				: prefill.dataCentre() + '>' + decode.dataCentre();
	}

	/**
	 * Returns the KV cache memory that a request needs at most.
	 * @param request the request
	 * @return the number of memory pieces for its prompt and its maximum output
	 */
	static int pieces(PlacementRequest request) {
		int tokens = request.promptTokens() + request.maxOutputTokens();
		return (tokens + EngineNode.TOKENS_PER_PIECE - 1) / EngineNode.TOKENS_PER_PIECE;
	}

	private void grant(OfferedRequest head, TeamQueue team, EnginePair chosen, int pieces, long nowNanos) {
		PlacementRequest request = head.request();
		this.queued.remove(request.requestId());
		team.queue(request.requestClass()).remove(head);
		double charge = cost(request.promptTokens(), request.maxOutputTokens() * this.outputShare);
		this.virtualTime = Math.max(this.virtualTime, team.finishTag);
		team.finishTag += charge / team.weight;
		HeldPlacement held = new HeldPlacement(request.requestId(), ++this.nextGrantId, chosen.prefill.node().id(),
				chosen.decode.node().id(), request.teamId(), request.weight(), pieces, request.isolated());
		ActiveGrant grant = new ActiveGrant(held, head.holder(), charge, request.promptTokens(),
				request.maxOutputTokens(), nowNanos, chosen.prefill.prefillNanos(request),
				request.requestClass().mayExceedFirstTokenTarget());
		chosen.prefill.addPrefill(grant, nowNanos);
		chosen.prefill.prefixes().addExpected(request.prefixHashes());
		if (chosen.prefill != chosen.decode) {
			this.linkFreeNanos.put(link(chosen.prefill.node(), chosen.decode.node()), chosen.transferEndNanos);
		}
		addGrant(grant, request.weight(), nowNanos);
		this.undelivered
			.add(PlacementDecision.grant(head, held.grantId(), held.prefillEngineId(), held.decodeEngineId()));
	}

	@Override
	public List<OfferedRequest> queued() {
		return List.copyOf(this.queued.values());
	}

	@Override
	public int grantCount() {
		return this.grants.size();
	}

	int teamCount() {
		return this.teams.size();
	}

	/**
	 * Returns the number of decode slots of an engine that are not reserved.
	 * @param engineId the identifier of the engine
	 * @return the number of free slots, or 0 if the engine is unknown
	 */
	int freeSlots(String engineId) {
		EngineEstimate engine = this.engines.get(engineId);
		return (engine != null) ? engine.freeSlots() : 0;
	}

	private enum Outcome {

		GRANTED, REFUSED, BLOCKED, NO_MEMORY

	}

	/**
	 * Selects the request to serve next from the queues of a team.
	 */
	private interface HeadSelector {

		@Nullable OfferedRequest select(TeamQueue team);

	}

	private record EnginePair(EngineEstimate prefill, EngineEstimate decode, long prefillEndNanos,
			long transferEndNanos, long firstTokenNanos, double score) {

	}

}
