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
 * Model of an engine with continuous batching. It is a pure state machine: the time is an
 * argument, and {@link #advance(long)} returns what happened up to then.
 *
 * <p>
 * A request passes through these states. <pre>
 * PREFILL: QUEUED, PREFILLING, RESULT (until it expires or was sent)
 * DECODE:  WAITING, PULLING, TRANSFERRING, RUNNING
 * WHOLE:   QUEUED, PREFILLING, WAITING, RUNNING
 * </pre> A request that stalls by a fault, or that ignores its cancellation, is STALLED
 * and keeps its memory. Invariants: the pieces in use never exceed the memory; at most
 * one request is PREFILLING; at most {@code decodeSlots} requests are PULLING,
 * TRANSFERRING or RUNNING. When a running request needs a piece and none is free, the
 * last request of the lowest priority loses its memory and is prefilled again.
 */
public final class EngineModel {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final long LOAD_SAMPLE_NANOS = 10 * NANOS_PER_MILLI;

	/** Factor by which a prefill on the same engine lengthens a decode step. */
	private static final int PREFILL_INTERFERENCE = 2;

	private final EngineSpec spec;

	private final PrefixCache cache;

	private final TreeMap<Long, Work> works = new TreeMap<>();

	private final Map<String, Long> heardAt = new HashMap<>();

	private final Map<String, EngineRun> runs = new HashMap<>();

	private final Deque<LoadSample> samples = new ArrayDeque<>();

	private final List<EngineEvent> events = new ArrayList<>();

	private long lastHandle;

	private int usedPieces;

	private long stepEndsAt = Long.MAX_VALUE;

	private long linkFreeAt = Long.MIN_VALUE;

	/**
	 * Creates an idle engine.
	 * @param spec the specification
	 * @param random the randomness of lost cache events
	 */
	public EngineModel(EngineSpec spec, RandomGenerator random) {
		this.spec = spec;
		this.cache = new PrefixCache(spec.memory().cacheBlocks(), spec.reporting(), random);
	}

	/**
	 * Offers a request.
	 * @param request the request
	 * @param nowNanos the monotonic time
	 * @return the engine's number for it, or nothing if the engine is full
	 */
	public OptionalLong offer(EngineRequest request, long nowNanos) {
		heard(request.owner(), nowNanos);
		boolean neverFits = EngineMemory.piecesFor(request.promptTokens() + request.outputTokens()) > this.spec.memory()
			.pieces();
		if (neverFits || count(Work::waits) >= this.spec.memory().maxWaiting()) {
			return OptionalLong.empty();
		}
		Work work = new Work(++this.lastHandle, request);
		this.works.put(work.handle, work);
		return OptionalLong.of(work.handle);
	}

	/**
	 * Notes that the engine heard from the owner of requests.
	 * @param owner the VM and incarnation
	 * @param nowNanos the monotonic time
	 */
	public void heard(String owner, long nowNanos) {
		this.heardAt.put(owner, nowNanos);
	}

	/**
	 * Runs the engine up to a time.
	 * @param nowNanos the monotonic time
	 * @return what happened, in order
	 */
	public List<EngineEvent> advance(long nowNanos) {
		for (long at = nextAt(); at <= nowNanos; at = nextAt()) {
			fire(at);
			schedule(at);
		}
		schedule(nowNanos);
		sample(nowNanos);
		List<EngineEvent> happened = List.copyOf(this.events);
		this.events.clear();
		return happened;
	}

	/**
	 * Returns when {@link #advance(long)} has something to do again.
	 * @return the monotonic time, or {@link Long#MAX_VALUE}
	 */
	public long nextAt() {
		long next = this.stepEndsAt;
		for (Work work : this.works.values()) {
			next = Math.min(next, work.until);
		}
		return next;
	}

	private void fire(long at) {
		for (Work work : List.copyOf(this.works.values())) {
			if (work.until <= at) {
				work.until = Long.MAX_VALUE;
				switch (work.state) {
					case PREFILLING -> endPrefill(work, at);
					case RESULT -> remove(work);
					case TRANSFERRING -> run(work);
					default -> throw new IllegalStateException("no timer is expected in state " + work.state);
				}
			}
		}
		if (this.stepEndsAt <= at) {
			this.stepEndsAt = Long.MAX_VALUE;
			endStep();
		}
	}

	private static void run(Work work) {
		work.state = State.RUNNING;
	}

	private void endPrefill(Work work, long at) {
		this.cache.store(work.request.prefixHashes(), at);
		if (work.request.kind() == EngineRequest.Kind.PREFILL) {
			work.state = State.RESULT;
			work.until = at + this.spec.memory().prefillResultMillis() * NANOS_PER_MILLI;
			emit(work, EngineEvent.Type.PREFILLED, work.cachedTokens);
		}
		else {
			work.state = State.WAITING;
		}
	}

	private void endStep() {
		for (Work work : List.copyOf(this.works.values())) {
			if (work.inStep && work.state == State.RUNNING) {
				produce(work);
			}
		}
	}

	private void produce(Work work) {
		if (!grow(work)) {
			return;
		}
		if (work.offset == work.request.resumeOffset()) {
			ran(work, new EngineRun(0, 0, 0, 1, 0, 0));
		}
		work.offset++;
		boolean last = work.offset >= work.request.outputTokens();
		ran(work, new EngineRun(0, 0, 0, 0, 1, last ? 1 : 0));
		if (last) {
			remove(work);
		}
		emit(work, last ? EngineEvent.Type.LAST_TOKEN : EngineEvent.Type.TOKEN, work.offset);
		if (!last && work.request.stallStage() == EngineStage.STREAM) {
			work.state = State.STALLED;
		}
	}

	private boolean grow(Work work) {
		int needed = EngineMemory.piecesFor(work.tokens() + 1) - work.pieces;
		while (needed > freePieces()) {
			Work victim = this.works.values()
				.stream()
				.filter((other) -> other.state == State.RUNNING)
				.max(Comparator.comparingInt(Work::priority).thenComparingLong((other) -> other.handle))
				.orElse(work);
			free(victim);
			victim.state = State.QUEUED;
			victim.inStep = false;
			if (victim == work) {
				return false;
			}
		}
		take(work, needed);
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
		if (count((work) -> work.state == State.PREFILLING) > 0) {
			return;
		}
		first(State.QUEUED).filter((work) -> EngineMemory.piecesFor(work.tokens()) <= freePieces())
			.ifPresent((work) -> prefill(work, now));
	}

	private void prefill(Work work, long now) {
		take(work, EngineMemory.piecesFor(work.tokens()));
		int blocks = this.cache.cachedBlocks(work.request.prefixHashes());
		work.cachedTokens = Math.min(blocks * PrefixBlocks.BLOCK_TOKENS, work.request.promptTokens() - 1);
		ran(work, new EngineRun(1, work.tokens() - work.cachedTokens, work.cachedTokens, 0, 0, 0));
		if (work.request.stallStage() == EngineStage.PREFILL) {
			work.state = State.STALLED;
			return;
		}
		work.state = State.PREFILLING;
		work.until = now + this.spec.speed().prefillNanos(work.tokens(), work.cachedTokens);
	}

	private boolean admit() {
		Optional<Work> next = first(State.WAITING)
			.filter((work) -> count(Work::usesSlot) < this.spec.speed().decodeSlots())
			.filter((work) -> EngineMemory.piecesFor(work.tokens() + 1) - work.pieces <= freePieces());
		next.ifPresent((work) -> {
			take(work, EngineMemory.piecesFor(work.tokens() + 1) - work.pieces);
			if (work.request.kind() == EngineRequest.Kind.DECODE && !work.imported) {
				work.state = State.PULLING;
				emit(work, EngineEvent.Type.PULL, 0);
			}
			else {
				work.state = State.RUNNING;
			}
		});
		return next.isPresent();
	}

	private void startStep(long now) {
		if (this.stepEndsAt != Long.MAX_VALUE) {
			return;
		}
		int batch = 0;
		for (Work work : this.works.values()) {
			work.inStep = work.state == State.RUNNING;
			batch += work.inStep ? 1 : 0;
		}
		if (batch > 0) {
			boolean prefilling = count((work) -> work.state == State.PREFILLING) > 0;
			this.stepEndsAt = now + this.spec.speed().stepNanos(batch) * (prefilling ? PREFILL_INTERFERENCE : 1);
		}
	}

	/**
	 * Hands a prefill result to a decode engine. A result can be fetched once.
	 * @param handle the engine's number for the prefill
	 * @param nowNanos the monotonic time
	 * @return the time that sending takes in nanoseconds, or nothing if the result
	 * expired or is unknown
	 */
	public OptionalLong send(long handle, long nowNanos) {
		Work work = this.works.get(handle);
		if (work == null || work.state != State.RESULT || work.sent || work.until <= nowNanos) {
			return OptionalLong.empty();
		}
		work.sent = true;
		work.until = reserveLink(work.request.promptTokens(), nowNanos);
		return OptionalLong.of(work.until - nowNanos);
	}

	/**
	 * Starts the import of a fetched prefill result.
	 * @param handle the engine's number for the decode
	 * @param sendNanos the time that the sender needs, in nanoseconds
	 * @param nowNanos the monotonic time
	 */
	public void receive(long handle, long sendNanos, long nowNanos) {
		Work work = this.works.get(handle);
		if (work == null || work.state != State.PULLING) {
			return;
		}
		work.imported = true;
		long received = Math.max(nowNanos + sendNanos, reserveLink(work.request.promptTokens(), nowNanos));
		if (work.request.stallStage() == EngineStage.TRANSFER) {
			work.state = State.STALLED;
		}
		else {
			work.state = State.TRANSFERRING;
			work.until = received;
		}
	}

	private long reserveLink(int tokens, long now) {
		this.linkFreeAt = Math.max(now, this.linkFreeAt) + this.spec.speed().transferNanos(tokens);
		return this.linkFreeAt;
	}

	/**
	 * Cancels everything that is held for a request.
	 * @param requestId the request and attempt
	 * @return the number of works that were cancelled
	 */
	public int cancel(String requestId) {
		List<Work> cancelled = this.works.values()
			.stream()
			.filter((work) -> work.request.requestId().equals(requestId))
			.toList();
		cancelled.forEach((work) -> cancel(work.handle));
		return cancelled.size();
	}

	/**
	 * Cancels one request by the engine's number for it.
	 * @param handle the number
	 */
	public void cancel(long handle) {
		Work work = this.works.get(handle);
		if (work != null) {
			remove(work);
			emit(work, EngineEvent.Type.CANCELLED, 0);
		}
	}

	/**
	 * Stops a request for ever; it keeps its memory until it is cancelled.
	 * @param handle the engine's number for the request
	 */
	public void stall(long handle) {
		Work work = this.works.get(handle);
		if (work != null) {
			work.state = State.STALLED;
			work.until = Long.MAX_VALUE;
		}
	}

	/**
	 * Lists what is held.
	 * @param nowNanos the monotonic time
	 * @return the held requests in order of arrival
	 */
	public List<HeldRequest> held(long nowNanos) {
		return this.works.values().stream().map((work) -> {
			long idle = nowNanos - this.heardAt.getOrDefault(work.request.owner(), nowNanos);
			return new HeldRequest(work.request.requestId(), work.request.owner(),
					work.request.kind().name().toLowerCase(java.util.Locale.ROOT), work.pieces, idle / NANOS_PER_MILLI);
		}).toList();
	}

	/**
	 * Returns the load report, which lags.
	 * @param nowNanos the monotonic time
	 * @return the load as it was one lag ago
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
	 * Returns the present load.
	 * @return the load
	 */
	public EngineLoad load() {
		long queued = this.works.values()
			.stream()
			.filter((work) -> work.state == State.QUEUED || work.state == State.PREFILLING)
			.mapToLong(Work::tokens)
			.sum();
		return new EngineLoad(count((work) -> work.usesSlot() || work.state == State.STALLED), count(Work::waits),
				this.usedPieces, queued);
	}

	private void sample(long now) {
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
	 * Returns cache events, which are late and have gaps.
	 * @param after the last sequence number that the reader has
	 * @param nowNanos the monotonic time
	 * @return the events
	 */
	public List<CacheEvent> cacheEvents(long after, long nowNanos) {
		return this.cache.eventsAfter(after, nowNanos);
	}

	/**
	 * Returns what ran, by request and attempt.
	 * @return a copy
	 */
	public Map<String, EngineRun> runs() {
		return Map.copyOf(this.runs);
	}

	private void ran(Work work, EngineRun run) {
		this.runs.merge(work.request.requestId(), run, EngineRun::plus);
	}

	private void emit(Work work, EngineEvent.Type type, int value) {
		this.events.add(new EngineEvent(work.handle, type, value));
	}

	private Optional<Work> first(State state) {
		return this.works.values()
			.stream()
			.filter((work) -> work.state == state)
			.min(Comparator.comparingInt(Work::priority).thenComparingLong((work) -> work.handle));
	}

	private int count(Predicate<Work> filter) {
		int count = 0;
		for (Work work : this.works.values()) {
			count += filter.test(work) ? 1 : 0;
		}
		return count;
	}

	private int freePieces() {
		return this.spec.memory().pieces() - this.usedPieces;
	}

	private void take(Work work, int pieces) {
		work.pieces += pieces;
		this.usedPieces += pieces;
	}

	private void free(Work work) {
		this.usedPieces -= work.pieces;
		work.pieces = 0;
	}

	private void remove(Work work) {
		free(work);
		this.works.remove(work.handle);
	}

	private enum State {

		QUEUED, PREFILLING, RESULT, WAITING, PULLING, TRANSFERRING, RUNNING, STALLED

	}

	private record LoadSample(long atNanos, EngineLoad load) {

	}

	private static final class Work {

		private final long handle;

		private final EngineRequest request;

		private State state;

		private int offset;

		private int pieces;

		private int cachedTokens;

		private long until = Long.MAX_VALUE;

		private boolean inStep;

		private boolean imported;

		private boolean sent;

		Work(long handle, EngineRequest request) {
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

		boolean waits() {
			return this.state == State.QUEUED || this.state == State.WAITING;
		}

		boolean usesSlot() {
			return this.state == State.PULLING || this.state == State.TRANSFERRING || this.state == State.RUNNING;
		}

	}

}
