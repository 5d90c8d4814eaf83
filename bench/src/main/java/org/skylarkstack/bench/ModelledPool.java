package org.skylarkstack.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;

import org.skylarkstack.configuration.EngineNode;
import org.skylarkstack.engine.EngineLoad;
import org.skylarkstack.schedule.Placement;
import org.skylarkstack.schedule.SchedulerOptions;
import org.skylarkstack.schedule.TrueEngineState;

/**
 * Analytical model of the engines of one model.
 *
 * <p>
 * A prefill engine processes one prompt at a time at a fixed rate. Its result expires
 * after {@link SchedulerOptions#prefillResultLifetimeNanos()}; if decode has not started
 * by then, the request fails and its prefill is wasted. A transfer occupies the sending
 * engine's link at a fixed rate. A decode engine generates one token for each running
 * request in each step. The duration of a step grows linearly with the number of running
 * requests. Requests that exceed the engine's slots or memory are queued inside the
 * engine.
 */
final class ModelledPool implements TrueEngineState {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	private static final long STEP_BASE_NANOS = 28 * NANOS_PER_MILLI;

	private static final long STEP_PER_REQUEST_NANOS = NANOS_PER_MILLI;

	private static final long TOKEN_GAP_TARGET_NANOS = 51 * NANOS_PER_MILLI;

	private final SchedulerOptions options = SchedulerOptions.DEFAULT;

	private final Map<String, EngineNode> nodes = new LinkedHashMap<>();

	private final Map<String, Long> prefillFreeNanos = new HashMap<>();

	private final Map<String, Long> linkFreeNanos = new HashMap<>();

	private final Map<String, List<ModelledRequest>> running = new HashMap<>();

	private final Map<String, Deque<ModelledRequest>> queued = new HashMap<>();

	private final Map<String, Integer> requestsInTransfer = new HashMap<>();

	private final Map<String, Integer> piecesInTransfer = new HashMap<>();

	private final Map<String, Long> nextStepNanos = new HashMap<>();

	private final PriorityQueue<Transfer> transfers = new PriorityQueue<>((a, b) -> (a.endNanos != b.endNanos)
			? Long.compare(a.endNanos, b.endNanos) : Long.compare(a.sequence, b.sequence));

	private final Consumer<ModelledRequest> onEnd;

	private final Consumer<Placement> onPlacement;

	private long sequence;

	long prefilledTokens;

	ModelledPool(List<EngineNode> engines, Consumer<ModelledRequest> onEnd, Consumer<Placement> onPlacement) {
		this.onEnd = onEnd;
		this.onPlacement = onPlacement;
		for (EngineNode node : engines) {
			this.nodes.put(node.id(), node);
			this.running.put(node.id(), new ArrayList<>());
			this.queued.put(node.id(), new ArrayDeque<>());
		}
	}

	private EngineNode node(String id) {
		EngineNode node = this.nodes.get(id);
		if (node == null) {
			throw new IllegalArgumentException("engine %s is not part of the modelled pool".formatted(id));
		}
		return node;
	}

	void start(ModelledRequest request, long nowNanos) {
		EngineNode prefill = node(request.prefillEngineId);
		EngineNode decode = node(request.decodeEngineId);
		int prompt = request.request.promptTokens();
		long prefillStart = Math.max(nowNanos, this.prefillFreeNanos.getOrDefault(prefill.id(), 0L));
		long prefillEnd = prefillStart + this.options.prefillOverheadNanos()
				+ prompt * NANOS_PER_SECOND / prefill.prefillTokensPerSecond();
		this.prefillFreeNanos.put(prefill.id(), prefillEnd);
		this.prefilledTokens += prompt;
		request.prefilled = true;
		request.prefillEndNanos = prefillEnd;
		boolean sameDataCentre = prefill.dataCentre().equals(decode.dataCentre());
		String link = link(prefill, decode);
		double rate = sameDataCentre ? this.options.transferTokensPerSecond()
				: this.options.remoteTransferTokensPerSecond();
		long transferEnd = Math.max(prefillEnd, this.linkFreeNanos.getOrDefault(link, 0L))
				+ this.options.transferSetupNanos() + (long) (prompt / rate * NANOS_PER_SECOND);
		this.linkFreeNanos.put(link, transferEnd);
		this.requestsInTransfer.merge(decode.id(), 1, Integer::sum);
		this.piecesInTransfer.merge(decode.id(), request.pieces(), Integer::sum);
		this.transfers.add(new Transfer(transferEnd, this.sequence++, request));
	}

	private static String link(EngineNode prefill, EngineNode decode) {
		return prefill.dataCentre().equals(decode.dataCentre()) ? prefill.id()
				: prefill.dataCentre() + '>' + decode.dataCentre();
	}

	/**
	 * Advances the engines to a time.
	 * @param toNanos the new time in nanoseconds
	 */
	void advance(long toNanos) {
		while (true) {
			Transfer transfer = this.transfers.peek();
			String engineId = earliestStep();
			long stepNanos = this.nextStepNanos.getOrDefault(engineId, Long.MAX_VALUE);
			if (transfer != null && transfer.endNanos <= Math.min(stepNanos, toNanos)) {
				this.transfers.poll();
				completeTransfer(transfer.request, transfer.endNanos);
			}
			else if (stepNanos <= toNanos) {
				step(engineId, stepNanos);
			}
			else {
				return;
			}
		}
	}

	private String earliestStep() {
		String earliest = "";
		long earliestNanos = Long.MAX_VALUE;
		for (Map.Entry<String, Long> entry : this.nextStepNanos.entrySet()) {
			if (entry.getValue() < earliestNanos) {
				earliest = entry.getKey();
				earliestNanos = entry.getValue();
			}
		}
		return earliest;
	}

	private void completeTransfer(ModelledRequest request, long nowNanos) {
		String id = request.decodeEngineId;
		this.requestsInTransfer.merge(id, -1, Integer::sum);
		this.piecesInTransfer.merge(id, -request.pieces(), Integer::sum);
		queue(id).add(request);
		admit(id, nowNanos);
		this.nextStepNanos.computeIfAbsent(id, (key) -> nowNanos + stepNanos(key));
	}

	private List<ModelledRequest> running(String id) {
		return this.running.computeIfAbsent(id, (key) -> new ArrayList<>());
	}

	private Deque<ModelledRequest> queue(String id) {
		return this.queued.computeIfAbsent(id, (key) -> new ArrayDeque<>());
	}

	private void admit(String id, long nowNanos) {
		Deque<ModelledRequest> queue = queue(id);
		while (!queue.isEmpty()) {
			ModelledRequest next = queue.getFirst();
			if (nowNanos - next.prefillEndNanos > this.options.prefillResultLifetimeNanos()) {
				queue.removeFirst();
				this.onEnd.accept(next);
				continue;
			}
			if (running(id).size() >= node(id).decodeSlots()
					|| usedPieces(id) + next.pieces() > node(id).memoryPieces()) {
				return;
			}
			running(id).add(queue.removeFirst());
		}
	}

	private int usedPieces(String id) {
		return running(id).stream().mapToInt(ModelledRequest::pieces).sum();
	}

	private long stepNanos(String id) {
		return STEP_BASE_NANOS + STEP_PER_REQUEST_NANOS * running(id).size();
	}

	private void step(String id, long nowNanos) {
		for (Iterator<ModelledRequest> requests = running(id).iterator(); requests.hasNext();) {
			ModelledRequest request = requests.next();
			request.tokens++;
			if (request.tokens == 1) {
				request.firstTokenNanos = nowNanos;
			}
			else if (nowNanos - request.lastTokenNanos > TOKEN_GAP_TARGET_NANOS) {
				request.lateGaps++;
			}
			request.lastTokenNanos = nowNanos;
			if (request.tokens >= request.outputTokens) {
				request.finished = true;
				requests.remove();
				this.onEnd.accept(request);
			}
		}
		admit(id, nowNanos);
		if (running(id).isEmpty() && queue(id).isEmpty()) {
			this.nextStepNanos.remove(id);
		}
		else {
			this.nextStepNanos.put(id, nowNanos + stepNanos(id));
		}
	}

	EngineLoad load(String id, long nowNanos) {
		long backlog = Math.max(0, this.prefillFreeNanos.getOrDefault(id, 0L) - nowNanos);
		return new EngineLoad(running(id).size(), queue(id).size(), usedPieces(id),
				backlog * node(id).prefillTokensPerSecond() / NANOS_PER_SECOND);
	}

	@Override
	public long prefillFreeNanos(String engineId) {
		return this.prefillFreeNanos.getOrDefault(engineId, 0L);
	}

	@Override
	public long linkFreeNanos(String prefillEngineId, String decodeEngineId) {
		return this.linkFreeNanos.getOrDefault(link(node(prefillEngineId), node(decodeEngineId)), 0L);
	}

	@Override
	public int freeSlots(String id) {
		return node(id).decodeSlots() - running(id).size() - queue(id).size()
				- this.requestsInTransfer.getOrDefault(id, 0);
	}

	@Override
	public int freePieces(String id) {
		int queuedPieces = queue(id).stream().mapToInt(ModelledRequest::pieces).sum();
		return node(id).memoryPieces() - usedPieces(id) - queuedPieces - this.piecesInTransfer.getOrDefault(id, 0);
	}

	@Override
	public void addPlacement(Placement placement) {
		this.onPlacement.accept(placement);
	}

	private record Transfer(long endNanos, long sequence, ModelledRequest request) {

	}

}
