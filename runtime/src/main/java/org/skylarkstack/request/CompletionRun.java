package org.skylarkstack.request;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.configuration.EngineNode;
import org.skylarkstack.configuration.ObjectKind;
import org.skylarkstack.configuration.Team;
import org.skylarkstack.engine.DecodeEvent;
import org.skylarkstack.engine.DecodeStream;
import org.skylarkstack.engine.EngineCall;
import org.skylarkstack.kernel.CancelReason;
import org.skylarkstack.kernel.Cancellation;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.kernel.Verdict;
import org.skylarkstack.schedule.Placement;
import org.skylarkstack.schedule.PlacementRelease;
import org.skylarkstack.schedule.PlacementRequest;

/**
 * Runs one completion request, with all its attempts.
 *
 * <p>
 * Each attempt takes a placement, runs a prefill unless the result of an earlier one can
 * still be used, and decodes from the first token that the caller does not have. However
 * an attempt ends, its placement is released exactly once, and the decode either reaches
 * the end marker of its stream or is cancelled. A prefill result is either imported by a
 * decode or cancelled.
 */
final class CompletionRun {

	private static final int MAX_PLACEMENT_TRIES = 3;

	private static final long INTERACTIVE_WAIT_NANOS = 500_000_000L;

	// Batch callers keep their connection open while the request waits; one hour is the
	// longest idle timeout that load balancers commonly allow.
	private static final long BATCH_WAIT_NANOS = 3_600_000_000_000L;

	private final RequestComponents components;

	private final Team team;

	private final CompletionRequest request;

	private final Cancellation cancellation;

	private final ResponseSink sink;

	private final String requestId;

	private final String fingerprint;

	private final List<String> sharedMessages;

	private final TokenCursor cursor = new TokenCursor();

	private final Set<String> failedEngines = new HashSet<>();

	private @Nullable HeldPrefill prefill;

	private Verdict verdict = Verdict.NOT_RUN;

	private String failedEngine = "";

	private String suspectAttempt = "";

	// True if the sink failed on an event. The cursor counts that event as delivered, so
	// a resume would skip it.
	private boolean sinkFailed;

	// Whether the engine of the current attempt has sent an event.
	private boolean attemptStarted;

	private long firstEventNanos;

	private int attempts;

	private long prefilledTokens;

	CompletionRun(RequestComponents components, Team team, CompletionRequest request, Cancellation cancellation,
			ResponseSink sink) {
		this.components = components;
		this.team = team;
		this.request = request;
		this.cancellation = cancellation;
		this.sink = sink;
		this.requestId = components.ids().next();
		this.fingerprint = request.fingerprint(team.id());
		this.sharedMessages = request.sharedMessages();
	}

	long usedTokens() {
		return this.prefilledTokens + this.cursor.delivered();
	}

	void run() {
		boolean completed = false;
		try {
			runAttempts();
			completed = true;
		}
		catch (CallerDisconnectedException ex) {
			this.cancellation.cancel(CancelReason.CALLER_GONE);
			throw ex;
		}
		finally {
			releasePrefill();
			if (!completed) {
				this.components.counters().recordWastedPrefill(this.prefilledTokens);
			}
		}
		if (!this.suspectAttempt.isEmpty()) {
			this.components.suspectRunGrants().release(this.fingerprint, this.suspectAttempt);
			this.components.crashReporter().clear(this.fingerprint);
		}
	}

	private void runAttempts() {
		while (true) {
			try {
				attempt();
				return;
			}
			catch (RouterException ex) {
				this.verdict = this.verdict.combine(ex.verdict());
				reportIfEngineCrashed(ex);
				this.cancellation.check(this.verdict);
				if (this.sinkFailed || !this.components.retryPolicy()
					.permits(ex, this.verdict, this.attempts, this.request.idempotent(), this.cursor.delivered(),
							this.components.time().nanos())
						|| !hasTimeLeft()) {
					throw ex.withEarlierVerdict(this.verdict);
				}
				this.components.counters().recordFurtherAttempt(this.cursor.delivered() > 0);
			}
		}
	}

	private long expectedNanos() {
		return this.components.shutdownAdmission().completionNanos(this.request, this.cursor.delivered(), this.verdict);
	}

	private boolean hasTimeLeft() {
		return this.components.shutdownAdmission()
			.permits(this.request.model(), this::expectedNanos, this.verdict, this.components.time().nanos());
	}

	private void checkTimeLeft() {
		this.components.shutdownAdmission()
			.check(this.request.model(), this::expectedNanos, this.verdict, this.components.time().nanos());
	}

	private void attempt() {
		this.cancellation.check(this.verdict);
		this.failedEngine = "";
		this.attemptStarted = false;
		this.attempts++;
		String attemptId = RequestIds.attempt(this.requestId, this.attempts);
		boolean isolated = checkSuspect(attemptId);
		Placement placement = place(attemptId, isolated);
		long usedBefore = usedTokens();
		try {
			this.cancellation.check(this.verdict);
			checkTimeLeft();
			runPlaced(placement, attemptId);
		}
		finally {
			this.components.placer()
				.release(placement, new PlacementRelease(usedTokens() - usedBefore, this.failedEngine));
		}
	}

	// Returns true if the request is a crash suspect that may run once more, and false if
	// it is not a suspect. Throws if it may not run again.
	private boolean checkSuspect(String attemptId) {
		long refusalNanos = this.components.suspects()
			.messageRefusalNanos(this.sharedMessages, this.components.time().nanos());
		if (refusalNanos > 0) {
			throw RouterException.retryAfter(ErrorType.PROMPT_PART_BLOCKED, Duration.ofNanos(refusalNanos));
		}
		int crashes = this.components.suspects().crashCount(this.fingerprint, this.components.time().nanos());
		if (crashes == 0) {
			return false;
		}
		if (crashes < CrashSuspects.MAX_CRASHES && !this.suspectAttempt.isEmpty()) {
			return true;
		}
		if (crashes >= CrashSuspects.MAX_CRASHES || !this.components.suspectRunGrants()
			.tryAcquire(this.fingerprint, attemptId, this.components.time().epochMillis())) {
			throw new RouterException(ErrorType.CRASH_SUSPECT, crashes);
		}
		this.suspectAttempt = attemptId;
		return true;
	}

	private Placement place(String attemptId, boolean isolated) {
		Placement placement = placeOnce(attemptId, isolated);
		for (int tries = 1; tries < MAX_PLACEMENT_TRIES && usesAvoidedEngine(placement); tries++) {
			// Holds the rejected placement until the next one is taken: otherwise a
			// placer that picks the least busy engine could return the same engine again.
			Placement rejected = placement;
			try {
				placement = placeOnce(attemptId + "r" + tries, isolated);
			}
			catch (RouterException ex) {
				if (this.cancellation.reason() != null) {
					this.components.placer().release(rejected, new PlacementRelease(0, ""));
					throw ex;
				}
				break;
			}
			this.components.placer().release(rejected, new PlacementRelease(0, ""));
		}
		return placement;
	}

	private boolean usesAvoidedEngine(Placement placement) {
		return isAvoided(placement.decodeEngineId())
				|| (this.prefill == null && isAvoided(placement.prefillEngineId()));
	}

	private boolean isAvoided(String engineId) {
		return this.failedEngines.contains(engineId)
				|| this.components.quarantine().contains(engineId, this.components.time().nanos());
	}

	private Placement placeOnce(String placementId, boolean isolated) {
		long wait = this.request.requestClass().mayExceedFirstTokenTarget() ? BATCH_WAIT_NANOS : INTERACTIVE_WAIT_NANOS;
		PlacementRequest placementRequest = new PlacementRequest(placementId, this.components.vmId(),
				this.request.model(), this.team.id(), this.team.weight(), this.request.requestClass(),
				this.request.promptTokens(), this.request.maxOutputTokens(), List.of(), wait, isolated);
		Thread waiting = Thread.currentThread();
		try (Cancellation.Registration registration = this.cancellation.onCancel(waiting::interrupt);
				ShutdownAdmission.Waiting queued = this.components.shutdownAdmission()
					.waiting(this.request.model(), this::expectedNanos, this.verdict, this.cancellation)) {
			return this.components.placer().place(placementRequest);
		}
		catch (RouterException ex) {
			this.cancellation.check(this.verdict);
			throw ex;
		}
		finally {
			// The registration is closed, so no further interrupt can arrive. Clears one
			// that arrived late, so that it does not end a later wait of this thread.
			Thread.interrupted();
		}
	}

	private void runPlaced(Placement placement, String attemptId) {
		long placedNanos = this.components.time().nanos();
		EngineCall call = new EngineCall(attemptId, this.components.ids().owner(), this.request.path(),
				this.request.engineBody(), this.cancellation);
		HeldPrefill held = this.prefill;
		if (held == null || !held.reusable(this.components.time().nanos())) {
			held = prefill(placement.prefillEngineId(), call);
		}
		decode(placement.decodeEngineId(), call, held);
		if (this.attempts == 1) {
			this.components.shutdownAdmission()
				.durations()
				.recordCompletion(this.request, this.firstEventNanos - placedNanos,
						this.components.time().nanos() - this.firstEventNanos, this.cursor.delivered());
		}
	}

	private HeldPrefill prefill(String engineId, EngineCall call) {
		releasePrefill();
		EngineNode engine = engine(engineId);
		try {
			HeldPrefill held = new HeldPrefill(engineId, call.requestId(),
					this.components.engines().prefill(engine, call), this.components.time().nanos());
			this.prefill = held;
			this.verdict = this.verdict.combine(Verdict.MAY_HAVE_RUN);
			long tokens = held.result().promptTokens();
			this.components.counters().recordPrefill(tokens, this.prefilledTokens > 0);
			this.prefilledTokens = Math.max(this.prefilledTokens, tokens);
			return held;
		}
		catch (RouterException ex) {
			recordEngineFailure(engineId, ex);
			if (ex.verdict() != Verdict.NOT_RUN) {
				this.components.canceller().cancel(engineId, call.requestId());
			}
			throw ex;
		}
	}

	private void decode(String engineId, EngineCall call, HeldPrefill held) {
		EngineNode engine = engine(engineId);
		boolean sent = true;
		boolean completed = false;
		long sentNanos = this.components.time().nanos();
		this.cursor.startAttempt();
		try (DecodeStream stream = this.components.engines()
			.decode(engine, call, held.result(), this.cursor.delivered())) {
			relay(engineId, stream, sentNanos);
			completed = true;
		}
		catch (RouterException ex) {
			sent = ex.verdict() != Verdict.NOT_RUN;
			recordEngineFailure(engineId, ex);
			if (ex.type() == ErrorType.PREFILL_GONE) {
				this.prefill = null;
			}
			throw ex;
		}
		finally {
			if (!completed && sent) {
				this.components.canceller().cancel(engineId, call.requestId());
			}
		}
	}

	private void relay(String engineId, DecodeStream stream, long sentNanos) {
		for (DecodeEvent event = stream.next(); event != null; event = stream.next()) {
			// The first event shows that the decode engine has imported the prefill
			// result.
			this.prefill = null;
			if (!this.attemptStarted) {
				this.attemptStarted = true;
				this.firstEventNanos = this.components.time().nanos();
				this.components.crashReporter().recordStarted(this.sharedMessages, sentNanos);
			}
			this.cancellation.check(Verdict.MAY_HAVE_RUN);
			switch (this.cursor.accept(event)) {
				case DELIVER -> deliver(event);
				case REPEATED -> this.components.counters().recordRepeatedEvent();
				case GAP -> throw RouterException.of(ErrorType.BACKEND_FAILED, Verdict.MAY_HAVE_RUN, null, engineId,
						"token %d follows token %d".formatted(event.tokenOffset(), this.cursor.delivered()));
			}
		}
	}

	private void deliver(DecodeEvent event) {
		this.sinkFailed = true;
		this.sink.event(event.data());
		this.sinkFailed = false;
	}

	private void recordEngineFailure(String engineId, RouterException failure) {
		if (this.cancellation.reason() == null && failure.type() != ErrorType.PREFILL_GONE
				&& failure.type() != ErrorType.BAD_REQUEST) {
			this.failedEngine = engineId;
			this.failedEngines.add(engineId);
			if (failure.type() == ErrorType.BACKEND_UNREACHABLE || failure.type() == ErrorType.BACKEND_TIMEOUT) {
				this.components.quarantine().add(engineId, this.components.time().nanos());
			}
			HeldPrefill held = this.prefill;
			if (held != null && held.engineId().equals(engineId)) {
				releasePrefill();
			}
		}
	}

	private void releasePrefill() {
		HeldPrefill held = this.prefill;
		if (held != null) {
			this.prefill = null;
			this.components.canceller().cancel(held.engineId(), held.attemptId());
		}
	}

	private void reportIfEngineCrashed(RouterException failure) {
		boolean connectionBroken = failure.type() == ErrorType.BACKEND_FAILED
				&& failure.verdict() == Verdict.MAY_HAVE_RUN && failure.getCause() instanceof java.io.IOException;
		if (!connectionBroken || this.cancellation.reason() != null || this.failedEngine.isEmpty()
				|| isAlive(this.failedEngine)) {
			return;
		}
		this.components.quarantine().add(this.failedEngine, this.components.time().nanos());
		this.components.suspectRunGrants().recordCrash(this.fingerprint);
		this.components.crashReporter()
			.report(new CrashReport(this.fingerprint, RequestIds.attempt(this.requestId, this.attempts),
					this.failedEngine, false, this.sharedMessages, this.attemptStarted), this.cancellation);
	}

	// A broken connection alone does not prove a crash: a server may close an idle
	// connection while a request is on its way. The engine counts as crashed if it does
	// not respond to a load request either.
	private boolean isAlive(String engineId) {
		Optional<EngineNode> engine = find(engineId);
		if (engine.isEmpty()) {
			return true;
		}
		try {
			this.components.engines().load(engine.get());
			return true;
		}
		catch (RouterException ex) {
			return false;
		}
	}

	private EngineNode engine(String id) {
		return find(id).orElseThrow(() -> new RouterException(ErrorType.NO_ENGINE, this.request.model()));
	}

	private Optional<EngineNode> find(String engineId) {
		return this.components.configuration().current().find(EngineNode.class, ObjectKind.ENGINE, engineId);
	}

}
