package org.skylarkstack.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.util.concurrent.ScheduledFuture;
import org.jspecify.annotations.Nullable;
import org.skylarkstack.edge.BackendCall;
import org.skylarkstack.edge.BackendFailure;
import org.skylarkstack.edge.BackendListener;
import org.skylarkstack.edge.BackendRequest;
import org.skylarkstack.edge.CallerResponse;
import org.skylarkstack.kernel.Verdict;
import org.skylarkstack.peers.RequestMemory;

/**
 * Request whose response is streamed by a model engine.
 *
 * <p>
 * A prefill engine processes the prompt; a decode engine fetches the result and generates
 * the response. Without a prefill engine the decode engine does both. Complete events are
 * relayed to the caller as they arrive. If a stream breaks and the route permits it,
 * another engine resumes it after the last event that the caller has received; otherwise
 * the connection to the caller is aborted, so that the truncated response cannot be taken
 * for a complete one. A prefill result that no decode engine has fetched is released.
 */
final class StreamExchange extends Exchange implements WaitingStream {

	private static final int MAX_PREFILL_ATTEMPTS = 3;

	private static final long MIN_RETRY_AFTER_MILLIS = 1_500;

	private static final long MAX_RETRY_AFTER_MILLIS = 4_000;

	// Callers obey a Retry-After of at most one third of their remaining time.
	private static final long RETRY_AFTER_DIVISOR = 3;

	// Longest time in the queue, as a multiple of the latency target.
	private static final double MAX_WAIT_IN_TARGETS = 2.0;

	// Callers disconnect if a stream has not begun after four times its latency target. A
	// refusal shortly before that states that the request did not run.
	private static final double MAX_FIRST_EVENT_DELAY_IN_TARGETS = 3.6;

	// Time limit for one engine to process the prompt, after which another one is tried.
	private static final long PREFILL_TIMEOUT_MILLIS = 1_500;

	// Time limit for an engine to acknowledge the release of a prefill result. The engine
	// drops the result by itself at the end of its lifetime.
	private static final long RELEASE_TIMEOUT_MILLIS = 2_000;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final EngineProfile profile;

	private final EventBuffer eventBuffer = new EventBuffer();

	private final EngineReservations reservations;

	private final PrefillResultHolder prefillResult;

	private final StreamSilence silence;

	private final DecodeConnection decodeConnection;

	private @Nullable ScheduledFuture<?> firstEventTimer;

	// Prefill engines that failed to process the prompt. An engine that succeeded may be
	// chosen again when the stream resumes at another decode engine.
	private final Set<String> failedPrefillEngines = new HashSet<>();

	private final long requestAgeMillis;

	private final long expectedTokens;

	private long admittedNanos;

	private long responseStartedNanos;

	private int prefillAttempts;

	private boolean prefillEngineIdle;

	private long prefillSentNanos;

	private @Nullable BackendState prefillResultEngine;

	private boolean responseStarted;

	StreamExchange(GatewayComponents components, ExchangeContext context, CallerResponse response, OpenExchanges open,
			EngineProfile profile) {
		super(components, context, response, open);
		this.profile = profile;
		RequestFacts facts = context.facts();
		this.requestAgeMillis = components.admission()
			.requestAges()
			.ageMillis(context.route().name(), facts.timeoutMillis());
		this.expectedTokens = components.admission().outputLengths().expectedTokens(context.route().name(), facts);
		this.reservations = new EngineReservations(facts, this.expectedTokens);
		this.prefillResult = new PrefillResultHolder(profile.prefillResultTtlMillis());
		this.silence = StreamSilence.of(context.route());
		this.decodeConnection = new DecodeConnection(components.backendClient());
	}

	@Override
	void begin() {
		long timeoutMillis = (long) (MAX_FIRST_EVENT_DELAY_IN_TARGETS * context().route().targetMillis());
		this.firstEventTimer = components().loop()
			.schedule(this::endIfFirstEventOverdue, timeoutMillis, TimeUnit.MILLISECONDS);
		components().admission().add(context().service(), this.profile, this);
	}

	private void endIfFirstEventOverdue() {
		if (!isFinished() && !this.responseStarted && verdict() == Verdict.NOT_RUN && !mayBeRunning()) {
			abandonAttempts();
			giveUp(null);
		}
	}

	@Override
	public RequestMemory memory() {
		return this.reservations.memory();
	}

	@Override
	public Set<String> triedServers() {
		return tried();
	}

	@Override
	public int priority() {
		return context().priority();
	}

	@Override
	public long arrivedNanos() {
		return context().arrivedNanos();
	}

	@Override
	public long admissionTargetNanos() {
		long remainingMillis = context().route().targetMillis() - this.requestAgeMillis
				- components().admission().firstEventDelays().allowanceMillis();
		return context().arrivedNanos() + remainingMillis * NANOS_PER_MILLI;
	}

	@Override
	public boolean isExpired(long nowNanos) {
		long waitMillis = (long) (MAX_WAIT_IN_TARGETS * context().route().targetMillis());
		return nowNanos - context().arrivedNanos() >= waitMillis * NANOS_PER_MILLI || !fitsIntoStop(nowNanos)
				|| components().state().backends().isEvacuated(context().service().name(), BackendRole.DECODE);
	}

	@Override
	long requiredMillis(long nowNanos) {
		long remainingTokens = components().admission()
			.outputLengths()
			.upperTokens(context().route().name(), context().facts(), this.expectedTokens)
				- this.eventBuffer.eventCount() * this.profile.tokensPerEvent();
		long startMillis = (this.prefillResult.source() != null) ? 0
				: components().admission().firstEventDelays().allowanceMillis();
		return startMillis + components().completionTimes()
			.streamMillis(context().service().name(), Math.max(0, remainingTokens),
					context().remainingMillis(nowNanos));
	}

	// The number of tokens is bounded by the request, and the time of an engine by the
	// targets of the route or, if that is longer, by what engines took before.
	@Override
	long longestMillis(long nowNanos) {
		long remainingMillis = context().remainingMillis(nowNanos);
		if (context().facts().outputTokens() <= 0) {
			return remainingMillis;
		}
		long tokens = Math.max(0,
				context().facts().outputTokens() - this.eventBuffer.eventCount() * this.profile.tokensPerEvent());
		long events = (tokens + this.profile.tokensPerEvent() - 1) / this.profile.tokensPerEvent();
		long targetMillis = events * context().route().targetGapMillis();
		long knownMillis = components().completionTimes()
			.streamMillis(context().service().name(), tokens, remainingMillis);
		long startMillis = (this.prefillResult.source() != null) ? 0 : context().route().targetMillis();
		return Math.min(remainingMillis, startMillis + Math.max(targetMillis, knownMillis));
	}

	@Override
	long retryAfterMillis() {
		long spread = components().random().nextLong(MIN_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_MILLIS);
		return Math.max(serverWaitMillis(),
				Math.min(spread, context().remainingMillis(System.nanoTime()) / RETRY_AFTER_DIVISOR));
	}

	@Override
	BackendRole serverRole() {
		return BackendRole.DECODE;
	}

	@Override
	public void admit(BackendState engine) {
		this.admittedNanos = System.nanoTime();
		connect(engine, this.admittedNanos);
	}

	private void connect(BackendState engine, long nowNanos) {
		this.reservations.reserveDecode(engine, nowNanos);
		this.decodeConnection.open(engine, nowNanos, (established) -> {
			if (isFinished()) {
				return;
			}
			if (established) {
				prefill();
			}
			else {
				engineUnreachable(engine);
			}
		});
	}

	// A stream whose prompt has not been processed waits for another engine. One that has
	// begun cannot wait: its caller would notice the pause.
	private void engineUnreachable(BackendState engine) {
		engine.recordFailure(System.nanoTime());
		this.reservations.releaseDecode();
		if (verdict() == Verdict.NOT_RUN) {
			components().admission().addAgain(context().service(), this);
			return;
		}
		tried().add(engine.node().id());
		if (mayRetry(false)) {
			resume(null);
		}
		else {
			giveUp(null);
		}
	}

	@Override
	public void refuse() {
		if (!endIfNotStartable(System.nanoTime())) {
			giveUp(null);
		}
	}

	@Override
	long events() {
		return this.eventBuffer.eventCount();
	}

	@Override
	long waitedMillis() {
		return (this.admittedNanos == 0) ? -1 : (this.admittedNanos - context().arrivedNanos()) / NANOS_PER_MILLI;
	}

	@Override
	long firstEventMillis() {
		return (this.responseStartedNanos == 0) ? -1
				: (this.responseStartedNanos - context().arrivedNanos()) / NANOS_PER_MILLI;
	}

	@Override
	@Nullable String lastEvent() {
		return this.eventBuffer.lastEventId();
	}

	@Override
	void ended() {
		ScheduledFuture<?> timer = this.firstEventTimer;
		if (timer != null) {
			timer.cancel(false);
		}
		components().admission().remove(context().service(), this);
		this.decodeConnection.close();
		this.reservations.releaseDecode();
		this.reservations.releasePrefill();
		components().admission().notifyUsageChanged();
		components().loop().execute(components().admission()::advance);
	}

	@Override
	void release() {
		CallPlan.KvSource unusedResult = this.prefillResult.remove();
		BackendState engine = this.prefillResultEngine;
		long now = System.nanoTime();
		if (unusedResult != null && engine != null && components().state().backends().mayCall(engine, now)) {
			engine.condition().countRequest(now);
			components().backendClient()
				.call(components().dialect().encodeRelease(unusedResult), new NoOpListener(), RELEASE_TIMEOUT_MILLIS);
		}
	}

	@Override
	boolean abortResponse() {
		if (this.responseStarted) {
			response().abort();
		}
		return this.responseStarted;
	}

	private void prefill() {
		long now = System.nanoTime();
		if (endIfNotStartable(now)) {
			return;
		}
		BackendState target = this.reservations.decodeEngine();
		BackendState engine = (this.prefillAttempts < MAX_PREFILL_ATTEMPTS && target != null)
				? choosePrefillEngine(target.node().dataCentre(), now) : null;
		if (engine == null) {
			decode(null);
			return;
		}
		this.prefillAttempts++;
		this.prefillEngineIdle = components().prefillEngineChooser().backlogTokens(engine, now) == 0;
		this.prefillSentNanos = now;
		this.reservations.reservePrefill(engine);
		components().admission().notifyUsageChanged();
		send(engine, plan(engine, true, null, now), PREFILL_TIMEOUT_MILLIS, new PrefillAttempt());
	}

	private @Nullable BackendState choosePrefillEngine(String dataCentre, long now) {
		List<BackendState> candidates = components().state()
			.backends()
			.accepting(context().service().name(), BackendRole.PREFILL,
					(node) -> this.failedPrefillEngines.contains(node.id())
							|| components().admission().isChangingRole(node, now),
					now);
		return components().prefillEngineChooser()
			.choose(candidates, this.profile, context().facts().promptTokens(), dataCentre, now);
	}

	private CallPlan plan(BackendState engine, boolean prefillOnly, CallPlan.@Nullable KvSource source, long now) {
		String lastEventId = (this.eventBuffer.lastEventId() != null) ? this.eventBuffer.lastEventId()
				: context().facts().lastEventId();
		return new CallPlan(engine.node().id(), context().remainingMillis(now), context().teamName(),
				context().priority(), prefillOnly, source, lastEventId);
	}

	private void resume(@Nullable BackendFailure lastFailure) {
		BackendState engine = components().admission()
			.chooseDecodeEngine(context().service().name(), this.profile, tried(), memory());
		if (engine == null) {
			giveUp(lastFailure);
			return;
		}
		connect(engine, System.nanoTime());
	}

	private void decode(@Nullable BackendFailure lastFailure) {
		long now = System.nanoTime();
		if (endIfNotStartable(now)) {
			return;
		}
		if (this.prefillResult.isStale(now)) {
			release();
		}
		BackendState engine = this.reservations.decodeEngine();
		if (engine == null || tried().contains(engine.node().id())
				|| !components().state().backends().isAvailable(engine)
				|| !engine.condition().coldLimit().maySendReserved(now)) {
			engine = components().admission()
				.chooseDecodeEngine(context().service().name(), this.profile, tried(), memory());
		}
		if (engine == null) {
			giveUp(lastFailure);
			return;
		}
		this.reservations.reserveDecode(engine, now);
		CallPlan.KvSource source = this.prefillResult.source();
		send(engine, plan(engine, false, source, now), this.silence.firstMillis(), new DecodeAttempt(source, now));
	}

	@Override
	BackendCall open(BackendRequest request, Attempt next) {
		return (next instanceof DecodeAttempt) ? this.decodeConnection.call(request, next, System.nanoTime())
				: super.open(request, next);
	}

	// Processing a prompt at a decode engine delays the events of all streams there, so a
	// resumed stream goes through a prefill engine as well.
	private void retry(@Nullable BackendFailure failure, boolean reachedServer) {
		if (mayRetry(reachedServer)) {
			if (this.prefillResult.source() != null) {
				decode(failure);
			}
			else {
				resume(failure);
			}
		}
		else {
			giveUp(failure);
		}
	}

	/**
	 * Call that processes the prompt at a prefill engine.
	 */
	private final class PrefillAttempt extends Attempt {

		PrefillAttempt() {
			super(StreamExchange.this, "prefill");
		}

		@Override
		boolean executesRequest() {
			return false;
		}

		@Override
		void responseReceived(ResponseHead head) {
			StreamExchange.this.reservations.releasePrefill();
			String handle = head.success() ? components().dialect().prefillHandle(body()) : null;
			if (handle == null) {
				if (!head.notExecuted()) {
					server().recordFailure(System.nanoTime());
				}
				retryPrefill(true);
				return;
			}
			server().recordSuccess();
			if (StreamExchange.this.prefillEngineIdle) {
				components().prefillEngineChooser()
					.recordPrefill(context().facts().promptTokens(),
							(System.nanoTime() - StreamExchange.this.prefillSentNanos) / NANOS_PER_MILLI,
							server().pace().expected(System.nanoTime()));
			}
			StreamExchange.this.prefillResultEngine = server();
			StreamExchange.this.prefillResult.set(new CallPlan.KvSource(server().node().address(), handle),
					System.nanoTime());
			decode(null);
		}

		@Override
		void callFailed(BackendFailure failure) {
			StreamExchange.this.reservations.releasePrefill();
			retryPrefill(failure.reachedServer());
		}

		private void retryPrefill(boolean reachedServer) {
			StreamExchange.this.failedPrefillEngines.add(server().node().id());
			if (reachedServer && !components().retryBudget().tryTake(context().service().name(), System.nanoTime())) {
				giveUp(null);
				return;
			}
			prefill();
		}

	}

	/**
	 * Call that generates the response at a decode engine.
	 */
	private final class DecodeAttempt extends Attempt {

		private final CallPlan.@Nullable KvSource source;

		private long progressNanos;

		private boolean started;

		DecodeAttempt(CallPlan.@Nullable KvSource source, long nowNanos) {
			super(StreamExchange.this, "decode");
			this.source = source;
			this.progressNanos = nowNanos;
		}

		// Counted when the engine was reserved.
		@Override
		void countRequest() {
			StreamExchange.this.reservations.decodeSent(sentNanos());
		}

		@Override
		long furtherWaitMillis(long nowNanos) {
			boolean canMove = couldFollow(nowNanos) && components().admission()
				.chooseDecodeEngine(context().service().name(), StreamExchange.this.profile, tried(), memory()) != null;
			return StreamExchange.this.silence.furtherMillis((nowNanos - this.progressNanos) / NANOS_PER_MILLI,
					canMove);
		}

		private void recordProgress() {
			this.progressNanos = System.nanoTime();
			setTimeout(StreamExchange.this.silence.firstMillis());
		}

		// The engine is not silent while the caller does not read what it has sent.
		private void pauseUntilWritable() {
			cancelTimeout();
			setReading(false);
			response().onWritable(() -> {
				if (!isFinished()) {
					setReading(true);
					recordProgress();
				}
			});
		}

		@Override
		void headReceived() {
			if (!responseHead().success() || !responseHead().signed()) {
				return;
			}
			combineVerdict(Verdict.MAY_HAVE_RUN);
			StreamExchange.this.prefillResult.remove();
			if (!StreamExchange.this.responseStarted) {
				StreamExchange.this.responseStarted = true;
				StreamExchange.this.responseStartedNanos = System.nanoTime();
				components().admission()
					.firstEventDelays()
					.update((System.nanoTime() - StreamExchange.this.admittedNanos) / NANOS_PER_MILLI);
				components().metrics()
					.firstByte(context().route().kind().name(), System.nanoTime() - context().arrivedNanos());
				response().start(responseHead().status(), components().dialect().forwardedHeaders(headers()));
			}
		}

		@Override
		public void data(byte[] part) {
			if (isFinished()) {
				return;
			}
			if (responseHead().success() && responseHead().signed()) {
				relay(part);
			}
			else {
				super.data(part);
			}
		}

		@Override
		boolean responseStarted() {
			return this.started;
		}

		private void relay(byte[] part) {
			EventBuffer events = StreamExchange.this.eventBuffer;
			long before = events.eventCount();
			byte[] completeEvents = events.append(part);
			response().write(completeEvents);
			StreamExchange.this.reservations
				.setGeneratedTokens(events.eventCount() * StreamExchange.this.profile.tokensPerEvent());
			if (!this.started && completeEvents.length > 0) {
				this.started = true;
				components().suspects().recordStarted(context(), sentNanos(), System.nanoTime());
			}
			if (events.isOversized()) {
				rejectOversized();
			}
			else if (!response().isWritable()) {
				pauseUntilWritable();
			}
			else if (events.eventCount() > before) {
				recordProgress();
			}
		}

		@Override
		void responseReceived(ResponseHead head) {
			countAttempt();
			if (head.notExecuted()) {
				retryAfterRefusal();
			}
			else if (!head.signed()) {
				combineVerdict(Verdict.MAY_HAVE_RUN);
				server().recordFailure(System.nanoTime());
				retry(new BackendFailure(BackendFailure.Kind.MALFORMED, Verdict.MAY_HAVE_RUN), true);
			}
			else if (!head.success()) {
				handleEngineError(head);
			}
			else {
				combineVerdict(Verdict.RAN);
				server().recordSuccess();
				recordCompletion();
				if (finish(head.status(), 0)) {
					response().finish();
				}
			}
		}

		private void recordCompletion() {
			long tokens = StreamExchange.this.eventBuffer.eventCount() * StreamExchange.this.profile.tokensPerEvent();
			components().admission()
				.outputLengths()
				.update(context().route().name(), tokens, StreamExchange.this.expectedTokens);
			components().completionTimes()
				.recordStream(context().service().name(), tokens,
						(System.nanoTime() - StreamExchange.this.responseStartedNanos) / NANOS_PER_MILLI);
		}

		private void retryAfterRefusal() {
			server().recordFullRefusal(System.nanoTime());
			retry(null, true);
		}

		private void handleEngineError(ResponseHead head) {
			combineVerdict(Verdict.MAY_HAVE_RUN);
			server().recordFailure(System.nanoTime());
			if (mayRetry(true)) {
				resume(null);
			}
			else if (head.isUnprovenRefusal()) {
				giveUp(new BackendFailure(BackendFailure.Kind.UNPROVEN_REFUSAL, Verdict.MAY_HAVE_RUN));
			}
			else if (!StreamExchange.this.responseStarted && finish(head.status(), 0)) {
				release();
				response().send(head.status(), components().dialect().forwardedHeaders(headers()), body());
			}
			else {
				giveUp(null);
			}
		}

		@Override
		void callFailed(BackendFailure failure) {
			if (failure.reachedServer()) {
				countAttempt();
			}
			combineVerdict(failure.verdict());
			if (failure.reachedServer() && this.source != null) {
				// The engine may already have fetched the prefill result, so it cannot be
				// used again.
				StreamExchange.this.prefillResult.remove();
			}
			discardPartialAndRetry(failure, failure.reachedServer());
		}

		private void discardPartialAndRetry(BackendFailure failure, boolean reachedServer) {
			StreamExchange.this.eventBuffer.discardPartial();
			retry(failure, reachedServer);
		}

	}

	/**
	 * Listener of a call whose outcome is ignored.
	 */
	private static final class NoOpListener implements BackendListener {

		@Override
		public void head(int status, HttpHeaders headers) {
		}

		@Override
		public void ended() {
		}

		@Override
		public void failed(BackendFailure failure) {
			// The engine frees the prefill result itself when its lifetime ends.
		}

	}

}
