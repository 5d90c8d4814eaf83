package org.skylarkstack.standin;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

import org.skylarkstack.engine.EngineLoad;
import org.skylarkstack.engine.HeldRequest;

/**
 * Model of an inference engine with continuous batching. It is a pure state machine: the
 * current time is an argument, and {@link #advance(long)} returns the events up to it.
 *
 * <p>
 * A request passes through the states of its kind. <pre>
 * PREFILL: QUEUED, PREFILLING, RESULT (until the result expires or was sent)
 * DECODE:  WAITING, PULLING, TRANSFERRING, RUNNING
 * WHOLE:   QUEUED, PREFILLING, WAITING, RUNNING
 * </pre> A request that an injected fault stalls is STALLED and keeps its memory until it
 * is cancelled. A request whose cancellation an injected fault ignores stays in its state
 * and keeps its memory as well. Invariants: the allocated pieces never exceed the memory;
 * at most one request is PREFILLING; at most {@code decodeSlots} requests are PULLING,
 * TRANSFERRING or RUNNING. When a running request needs a piece and none is free, the
 * most recent running request of the lowest priority is preempted: it loses its memory
 * and is prefilled again.
 */
public final class EngineModel {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final long LOAD_SAMPLE_NANOS = 10 * NANOS_PER_MILLI;

	/** Factor by which a prefill on the same engine lengthens a decode step. */
	private static final int PREFILL_INTERFERENCE = 2;

	private final EngineSpec spec;

	private final PrefixCache cache;

	private final TreeMap<Long, ActiveRequest> activeRequests = new TreeMap<>();

	private final Map<String, Long> lastContactAt = new HashMap<>();

	private final Map<String, EngineWorkCounts> workCounts = new HashMap<>();

	private final Deque<LoadSample> samples = new ArrayDeque<>();

	private final List<EngineEvent> events = new ArrayList<>();

	private long lastHandle;

	private int usedPieces;

	private long stepEndsAt = Long.MAX_VALUE;

	private long linkFreeAt = Long.MIN_VALUE;

	/**
	 * Creates an idle engine.
	 * @param spec the specification
	 * @param random the source of randomness for lost cache events
	 */
	public EngineModel(EngineSpec spec, RandomGenerator random) {
		this.spec = spec;
		this.cache = new PrefixCache(spec.memory().cacheBlocks(), spec.reporting(), random);
	}

	/**
	 * Accepts a request into the queue unless the queue is full or the request needs more
	 * memory than the engine has.
	 * @param request the request
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the handle of the request in this engine, or empty if it is rejected
	 */
	public OptionalLong offer(EngineRequest request, long nowNanos) {
		recordContact(request.owner(), nowNanos);
		boolean exceedsMemory = EngineMemory
			.piecesFor(request.promptTokens() + request.outputTokens()) > this.spec.memory().pieces();
		if (exceedsMemory || count(ActiveRequest::isWaiting) >= this.spec.memory().maxWaiting()) {
			return OptionalLong.empty();
		}
		ActiveRequest active = new ActiveRequest(++this.lastHandle, request);
		this.activeRequests.put(active.handle, active);
		return OptionalLong.of(active.handle);
	}

	/**
	 * Records that the owner of requests contacted the engine or is still reading from
	 * it.
	 * @param owner the VM and incarnation
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void recordContact(String owner, long nowNanos) {
		this.lastContactAt.put(owner, nowNanos);
	}

	/**
	 * Advances the engine to the current time.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the events since the previous call, in order
	 */
	public List<EngineEvent> advance(long nowNanos) {
		for (long at = nextAt(); at <= nowNanos; at = nextAt()) {
			fireTimers(at);
			schedule(at);
		}
		schedule(nowNanos);
		sampleLoad(nowNanos);
		List<EngineEvent> emitted = List.copyOf(this.events);
		this.events.clear();
		return emitted;
	}

	/**
	 * Returns the time of the next timer or the end of the decode step, when
	 * {@link #advance(long)} is due.
	 * @return the monotonic time in nanoseconds, or {@link Long#MAX_VALUE} if there is
	 * none
	 */
	public long nextAt() {
		long next = this.stepEndsAt;
		for (ActiveRequest active : this.activeRequests.values()) {
			next = Math.min(next, active.timerAt);
		}
		return next;
	}

	private void fireTimers(long at) {
		for (ActiveRequest active : List.copyOf(this.activeRequests.values())) {
			if (active.timerAt <= at) {
				active.timerAt = Long.MAX_VALUE;
				switch (active.state) {
					case PREFILLING -> endPrefill(active, at);
					case RESULT -> remove(active);
					case TRANSFERRING -> startDecode(active);
					default -> throw new IllegalStateException("unexpected timer in state " + active.state);
				}
			}
		}
		if (this.stepEndsAt <= at) {
			this.stepEndsAt = Long.MAX_VALUE;
			endStep();
		}
	}

	private static void startDecode(ActiveRequest active) {
		active.state = State.RUNNING;
	}

	private void endPrefill(ActiveRequest active, long at) {
		this.cache.store(active.request.prefixHashes(), at);
		if (active.request.kind() == EngineRequest.Kind.PREFILL) {
			active.state = State.RESULT;
			active.timerAt = at + this.spec.memory().prefillResultMillis() * NANOS_PER_MILLI;
			emit(active, EngineEvent.Type.PREFILLED, active.cachedTokens);
		}
		else {
			active.state = State.WAITING;
		}
	}

	private void endStep() {
		for (ActiveRequest active : List.copyOf(this.activeRequests.values())) {
			if (active.inStep && active.state == State.RUNNING) {
				produceToken(active);
			}
		}
	}

	private void produceToken(ActiveRequest active) {
		if (!growAllocation(active)) {
			return;
		}
		if (active.offset == active.request.resumeOffset()) {
			addWorkCounts(active, new EngineWorkCounts(0, 0, 0, 1, 0, 0));
		}
		active.offset++;
		boolean last = active.offset >= active.request.outputTokens();
		addWorkCounts(active, new EngineWorkCounts(0, 0, 0, 0, 1, last ? 1 : 0));
		if (last) {
			remove(active);
		}
		emit(active, last ? EngineEvent.Type.LAST_TOKEN : EngineEvent.Type.TOKEN, active.offset);
		if (!last && active.request.stallStage() == EngineStage.STREAM) {
			active.state = State.STALLED;
		}
	}

	private boolean growAllocation(ActiveRequest active) {
		int needed = EngineMemory.piecesFor(active.tokens() + 1) - active.pieces;
		while (needed > freePieces()) {
			ActiveRequest victim = this.activeRequests.values()
				.stream()
				.filter((other) -> other.state == State.RUNNING)
				.max(Comparator.comparingInt(ActiveRequest::priority).thenComparingLong((other) -> other.handle))
				.orElse(active);
			release(victim);
			victim.state = State.QUEUED;
			victim.inStep = false;
			if (victim == active) {
				return false;
			}
		}
		allocate(active, needed);
		return true;
	}

	private void schedule(long now) {
		startPrefill(now);
		boolean admitted = true;
		while (admitted) {
			admitted = admit();
		}
		startStep(now);
	}

	private void startPrefill(long now) {
		if (count((active) -> active.state == State.PREFILLING) > 0) {
			return;
		}
		firstIn(State.QUEUED).filter((active) -> EngineMemory.piecesFor(active.tokens()) <= freePieces())
			.ifPresent((active) -> prefill(active, now));
	}

	private void prefill(ActiveRequest active, long now) {
		allocate(active, EngineMemory.piecesFor(active.tokens()));
		int blocks = this.cache.cachedBlocks(active.request.prefixHashes());
		active.cachedTokens = Math.min(blocks * PrefixBlocks.BLOCK_TOKENS, active.request.promptTokens() - 1);
		addWorkCounts(active,
				new EngineWorkCounts(1, active.tokens() - active.cachedTokens, active.cachedTokens, 0, 0, 0));
		if (active.request.stallStage() == EngineStage.PREFILL) {
			active.state = State.STALLED;
			return;
		}
		active.state = State.PREFILLING;
		active.timerAt = now + this.spec.speed().prefillNanos(active.tokens(), active.cachedTokens);
	}

	private boolean admit() {
		Optional<ActiveRequest> next = firstIn(State.WAITING)
			.filter((active) -> count(ActiveRequest::usesSlot) < this.spec.speed().decodeSlots())
			.filter((active) -> EngineMemory.piecesFor(active.tokens() + 1) - active.pieces <= freePieces());
		next.ifPresent((active) -> {
			allocate(active, EngineMemory.piecesFor(active.tokens() + 1) - active.pieces);
			if (active.request.kind() == EngineRequest.Kind.DECODE && !active.imported) {
				active.state = State.PULLING;
				emit(active, EngineEvent.Type.PULL, 0);
			}
			else {
				active.state = State.RUNNING;
			}
		});
		return next.isPresent();
	}

	private void startStep(long now) {
		if (this.stepEndsAt != Long.MAX_VALUE) {
			return;
		}
		int batch = 0;
		for (ActiveRequest active : this.activeRequests.values()) {
			active.inStep = active.state == State.RUNNING;
			batch += active.inStep ? 1 : 0;
		}
		if (batch > 0) {
			boolean prefilling = count((active) -> active.state == State.PREFILLING) > 0;
			this.stepEndsAt = now + this.spec.speed().stepNanos(batch) * (prefilling ? PREFILL_INTERFERENCE : 1);
		}
	}

	/**
	 * Starts sending a prefill result to a decode engine. A result can be fetched once.
	 * @param handle the handle of the prefill in this engine
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the time that sending takes in nanoseconds, or empty if the result expired,
	 * was fetched before or is unknown
	 */
	public OptionalLong send(long handle, long nowNanos) {
		ActiveRequest active = this.activeRequests.get(handle);
		if (active == null || active.state != State.RESULT || active.sent || active.timerAt <= nowNanos) {
			return OptionalLong.empty();
		}
		active.sent = true;
		active.timerAt = reserveLink(active.request.promptTokens(), nowNanos);
		return OptionalLong.of(active.timerAt - nowNanos);
	}

	/**
	 * Starts the import of a fetched prefill result. The transfer takes as long as the
	 * slower of the sender and this engine's own link.
	 * @param handle the handle of the decode in this engine
	 * @param sendNanos the time that the sender needs, in nanoseconds
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void receive(long handle, long sendNanos, long nowNanos) {
		ActiveRequest active = this.activeRequests.get(handle);
		if (active == null || active.state != State.PULLING) {
			return;
		}
		active.imported = true;
		long received = Math.max(nowNanos + sendNanos, reserveLink(active.request.promptTokens(), nowNanos));
		if (active.request.stallStage() == EngineStage.TRANSFER) {
			active.state = State.STALLED;
		}
		else {
			active.state = State.TRANSFERRING;
			active.timerAt = received;
		}
	}

	private long reserveLink(int tokens, long now) {
		this.linkFreeAt = Math.max(now, this.linkFreeAt) + this.spec.speed().transferNanos(tokens);
		return this.linkFreeAt;
	}

	/**
	 * Cancels all work for a request and releases its memory.
	 * @param requestId the request and attempt
	 * @return the number of entries that were cancelled
	 */
	public int cancel(String requestId) {
		List<ActiveRequest> cancelled = this.activeRequests.values()
			.stream()
			.filter((active) -> active.request.requestId().equals(requestId))
			.toList();
		cancelled.forEach((active) -> cancel(active.handle));
		return cancelled.size();
	}

	/**
	 * Cancels the request with a handle and releases its memory.
	 * @param handle the handle of the request in this engine
	 */
	public void cancel(long handle) {
		ActiveRequest active = this.activeRequests.get(handle);
		if (active != null) {
			remove(active);
			emit(active, EngineEvent.Type.CANCELLED, 0);
		}
	}

	/**
	 * Stalls a request. It makes no further progress and keeps its memory until it is
	 * cancelled.
	 * @param handle the handle of the request in this engine
	 */
	public void stall(long handle) {
		ActiveRequest active = this.activeRequests.get(handle);
		if (active != null) {
			active.state = State.STALLED;
			active.timerAt = Long.MAX_VALUE;
		}
	}

	/**
	 * Lists the requests that the engine holds, with their memory and the time since the
	 * last contact with their owner.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the held requests in order of arrival
	 */
	public List<HeldRequest> held(long nowNanos) {
		return this.activeRequests.values().stream().map((active) -> {
			long idle = nowNanos - this.lastContactAt.getOrDefault(active.request.owner(), nowNanos);
			return new HeldRequest(active.request.requestId(), active.request.owner(),
					active.request.kind().name().toLowerCase(java.util.Locale.ROOT), active.pieces,
					idle / NANOS_PER_MILLI);
		}).toList();
	}

	/**
	 * Returns the load report, which is older than the current load by the configured
	 * lag.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the latest sample that is at least one lag old, or zero load without one
	 */
	public EngineLoad loadReport(long nowNanos) {
		long upTo = nowNanos - this.spec.reporting().loadLagMillis() * NANOS_PER_MILLI;
		EngineLoad report = new EngineLoad(0, 0, 0, 0);
		for (LoadSample sample : this.samples) {
			if (sample.atNanos() <= upTo) {
				report = sample.load();
			}
		}
		return report;
	}

	/**
	 * Returns the current load, without the lag of the load report.
	 * @return the load
	 */
	public EngineLoad load() {
		long queued = this.activeRequests.values()
			.stream()
			.filter((active) -> active.state == State.QUEUED || active.state == State.PREFILLING)
			.mapToLong(ActiveRequest::tokens)
			.sum();
		return new EngineLoad(count((active) -> active.usesSlot() || active.state == State.STALLED),
				count(ActiveRequest::isWaiting), this.usedPieces, queued);
	}

	private void sampleLoad(long now) {
		LoadSample last = this.samples.peekLast();
		if (last != null && now - last.atNanos() < LOAD_SAMPLE_NANOS) {
			return;
		}
		this.samples.add(new LoadSample(now, load()));
		long keepFrom = now - this.spec.reporting().loadLagMillis() * NANOS_PER_MILLI;
		while (this.samples.size() > 2 && secondSampleAt() <= keepFrom) {
			this.samples.remove();
		}
	}

	private long secondSampleAt() {
		return this.samples.stream().skip(1).findFirst().map(LoadSample::atNanos).orElse(Long.MAX_VALUE);
	}

	/**
	 * Returns the events of the prefix cache. They are delayed, and lost events leave
	 * gaps in the sequence numbers.
	 * @param after the last sequence number that the reader has received
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the events
	 */
	public List<CacheEvent> cacheEvents(long after, long nowNanos) {
		return this.cache.eventsAfter(after, nowNanos);
	}

	/**
	 * Returns the work done by request and attempt.
	 * @return a copy
	 */
	public Map<String, EngineWorkCounts> workCounts() {
		return Map.copyOf(this.workCounts);
	}

	private void addWorkCounts(ActiveRequest active, EngineWorkCounts counts) {
		this.workCounts.merge(active.request.requestId(), counts, EngineWorkCounts::plus);
	}

	private void emit(ActiveRequest active, EngineEvent.Type type, int value) {
		this.events.add(new EngineEvent(active.handle, type, value));
	}

	private Optional<ActiveRequest> firstIn(State state) {
		return this.activeRequests.values()
			.stream()
			.filter((active) -> active.state == state)
			.min(Comparator.comparingInt(ActiveRequest::priority).thenComparingLong((active) -> active.handle));
	}

	private int count(Predicate<ActiveRequest> filter) {
		int count = 0;
		for (ActiveRequest active : this.activeRequests.values()) {
			count += filter.test(active) ? 1 : 0;
		}
		return count;
	}

	private int freePieces() {
		return this.spec.memory().pieces() - this.usedPieces;
	}

	private void allocate(ActiveRequest active, int pieces) {
		active.pieces += pieces;
		this.usedPieces += pieces;
	}

	private void release(ActiveRequest active) {
		this.usedPieces -= active.pieces;
		active.pieces = 0;
	}

	private void remove(ActiveRequest active) {
		release(active);
		this.activeRequests.remove(active.handle);
	}

	private enum State {

		QUEUED, PREFILLING, RESULT, WAITING, PULLING, TRANSFERRING, RUNNING, STALLED

	}

	private record LoadSample(long atNanos, EngineLoad load) {

	}

	private static final class ActiveRequest {

		private final long handle;

		private final EngineRequest request;

		private State state;

		private int offset;

		private int pieces;

		private int cachedTokens;

		private long timerAt = Long.MAX_VALUE;

		private boolean inStep;

		private boolean imported;

		private boolean sent;

		ActiveRequest(long handle, EngineRequest request) {
			this.handle = handle;
			this.request = request;
			this.offset = request.resumeOffset();
			this.state = (request.kind() == EngineRequest.Kind.DECODE) ? State.WAITING : State.QUEUED;
		}

		int priority() {
			return this.request.priority();
		}

		int tokens() {
			return this.request.promptTokens() + this.offset;
		}

		boolean isWaiting() {
			return this.state == State.QUEUED || this.state == State.WAITING;
		}

		boolean usesSlot() {
			return this.state == State.PULLING || this.state == State.TRANSFERRING || this.state == State.RUNNING;
		}

	}

}
