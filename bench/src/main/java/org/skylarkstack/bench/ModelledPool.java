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
 * A prefill engine serves one prompt after another at a fixed speed. A result lives for
 * {@link SchedulerOptions#prefillResultNanos()}; when it has not reached decode by then,
 * the request fails and its prefill is wasted. A transfer occupies the sending engine's
 * link at a fixed rate. A decode engine gives one token to each running request in each
 * step; a step grows linearly with the running requests, and requests beyond its slots or
 * memory wait inside the engine.
 */
final class ModelledPool implements TrueEngineState {

	private static final long MILLIS = 1_000_000L;

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	private static final long STEP_BASE_NANOS = 28 * MILLIS;

	private static final long STEP_PER_REQUEST_NANOS = MILLIS;

	private static final long SLOW_GAP_NANOS = 51 * MILLIS;

	private final SchedulerOptions options = SchedulerOptions.DEFAULT;

	private final Map<String, EngineNode> nodes = new LinkedHashMap<>();

	private final Map<String, Long> prefillFree = new HashMap<>();

	private final Map<String, Long> linkFree = new HashMap<>();

	private final Map<String, List<ModelledRequest>> running = new HashMap<>();

	private final Map<String, Deque<ModelledRequest>> waiting = new HashMap<>();

	private final Map<String, Integer> onTheWay = new HashMap<>();

	private final Map<String, Integer> piecesOnTheWay = new HashMap<>();

	private final Map<String, Long> nextStep = new HashMap<>();

	private final PriorityQueue<Arrival> arrivals = new PriorityQueue<>(
			(a, b) -> (a.nanos != b.nanos) ? Long.compare(a.nanos, b.nanos) : Long.compare(a.sequence, b.sequence));

	private final Consumer<ModelledRequest> ended;

	private final Consumer<Placement> placed;

	private long sequence;

	long prefilledTokens;

	ModelledPool(List<EngineNode> engines, Consumer<ModelledRequest> ended, Consumer<Placement> placed) {
		this.ended = ended;
		this.placed = placed;
		for (EngineNode node : engines) {
			this.nodes.put(node.id(), node);
			this.running.put(node.id(), new ArrayList<>());
			this.waiting.put(node.id(), new ArrayDeque<>());
		}
	}

	private EngineNode node(String id) {
		EngineNode node = this.nodes.get(id);
		if (node == null) {
			throw new IllegalArgumentException("engine %s is not modelled".formatted(id));
		}
		return node;
	}

	void start(ModelledRequest request, long nowNanos) {
		EngineNode prefill = node(request.prefillEngineId);
		EngineNode decode = node(request.decodeEngineId);
		int prompt = request.request.promptTokens();
		long prefillStart = Math.max(nowNanos, this.prefillFree.getOrDefault(prefill.id(), 0L));
		long prefillEnd = prefillStart + this.options.prefillOverheadNanos()
				+ prompt * NANOS_PER_SECOND / prefill.prefillTokensPerSecond();
		this.prefillFree.put(prefill.id(), prefillEnd);
		this.prefilledTokens += prompt;
		request.prefilled = true;
		request.prefillEndNanos = prefillEnd;
		boolean local = prefill.dataCentre().equals(decode.dataCentre());
		String link = link(prefill, decode);
		double rate = local ? this.options.transferTokensPerSecond() : this.options.remoteTransferTokensPerSecond();
		long transferEnd = Math.max(prefillEnd, this.linkFree.getOrDefault(link, 0L))
				+ this.options.transferSetupNanos() + (long) (prompt / rate * NANOS_PER_SECOND);
		this.linkFree.put(link, transferEnd);
		this.onTheWay.merge(decode.id(), 1, Integer::sum);
		this.piecesOnTheWay.merge(decode.id(), request.pieces(), Integer::sum);
		this.arrivals.add(new Arrival(transferEnd, this.sequence++, request));
	}

	private static String link(EngineNode prefill, EngineNode decode) {
		return prefill.dataCentre().equals(decode.dataCentre()) ? prefill.id()
				: prefill.dataCentre() + '>' + decode.dataCentre();
	}

	/**
	 * Moves the engines forward.
	 * @param toNanos the new time
	 */
	void advance(long toNanos) {
		while (true) {
			Arrival arrival = this.arrivals.peek();
			String stepping = earliestStep();
			long step = this.nextStep.getOrDefault(stepping, Long.MAX_VALUE);
			if (arrival != null && arrival.nanos <= Math.min(step, toNanos)) {
				this.arrivals.poll();
				arrive(arrival.request, arrival.nanos);
			}
			else if (step <= toNanos) {
				step(stepping, step);
			}
			else {
				return;
			}
		}
	}

	private String earliestStep() {
		String earliest = "";
		long earliestNanos = Long.MAX_VALUE;
		for (Map.Entry<String, Long> entry : this.nextStep.entrySet()) {
			if (entry.getValue() < earliestNanos) {
				earliest = entry.getKey();
				earliestNanos = entry.getValue();
			}
		}
		return earliest;
	}

	private void arrive(ModelledRequest request, long nowNanos) {
		String id = request.decodeEngineId;
		this.onTheWay.merge(id, -1, Integer::sum);
		this.piecesOnTheWay.merge(id, -request.pieces(), Integer::sum);
		queue(id).add(request);
		admit(id, nowNanos);
		this.nextStep.computeIfAbsent(id, (key) -> nowNanos + stepNanos(key));
	}

	private List<ModelledRequest> running(String id) {
		return this.running.computeIfAbsent(id, (key) -> new ArrayList<>());
	}

	private Deque<ModelledRequest> queue(String id) {
		return this.waiting.computeIfAbsent(id, (key) -> new ArrayDeque<>());
	}

	private void admit(String id, long nowNanos) {
		Deque<ModelledRequest> queue = queue(id);
		while (!queue.isEmpty()) {
			ModelledRequest next = queue.getFirst();
			if (nowNanos - next.prefillEndNanos > this.options.prefillResultNanos()) {
				queue.removeFirst();
				this.ended.accept(next);
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
			else if (nowNanos - request.lastTokenNanos > SLOW_GAP_NANOS) {
				request.slowGaps++;
			}
			request.lastTokenNanos = nowNanos;
			if (request.tokens >= request.outputTokens) {
				request.finished = true;
				requests.remove();
				this.ended.accept(request);
			}
		}
		admit(id, nowNanos);
		if (running(id).isEmpty() && queue(id).isEmpty()) {
			this.nextStep.remove(id);
		}
		else {
			this.nextStep.put(id, nowNanos + stepNanos(id));
		}
	}

	EngineLoad load(String id, long nowNanos) {
		long backlog = Math.max(0, this.prefillFree.getOrDefault(id, 0L) - nowNanos);
		return new EngineLoad(running(id).size(), queue(id).size(), usedPieces(id),
				backlog * node(id).prefillTokensPerSecond() / NANOS_PER_SECOND);
	}

	@Override
	public long prefillFreeNanos(String engineId) {
		return this.prefillFree.getOrDefault(engineId, 0L);
	}

	@Override
	public long linkFreeNanos(String prefillEngineId, String decodeEngineId) {
		return this.linkFree.getOrDefault(link(node(prefillEngineId), node(decodeEngineId)), 0L);
	}

	@Override
	public int freeSlots(String id) {
		return node(id).decodeSlots() - running(id).size() - queue(id).size() - this.onTheWay.getOrDefault(id, 0);
	}

	@Override
	public int freePieces(String id) {
		int queued = queue(id).stream().mapToInt(ModelledRequest::pieces).sum();
		return node(id).memoryPieces() - usedPieces(id) - queued - this.piecesOnTheWay.getOrDefault(id, 0);
	}

	@Override
	public void placed(Placement placement) {
		this.placed.accept(placement);
	}

	private record Arrival(long nanos, long sequence, ModelledRequest request) {

	}

}
