package org.skylarkstack.request;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.skylarkstack.configuration.ObjectKind;
import org.skylarkstack.configuration.Ticket;
import org.skylarkstack.configuration.TicketChange;
import org.skylarkstack.kernel.CancelReason;
import org.skylarkstack.kernel.Cancellation;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.Exceptions;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.kernel.Verdict;
import org.skylarkstack.request.FakeEngineClient.DecodeFault;

import static com.google.common.truth.Truth.assertThat;

/**
 * After every test, no engine memory, placement or token reservation may remain held.
 */
class RequestPipelineTests {

	private static final List<String> COMPLETE_OUTPUT = List.of("t1", "t2", "t3", "t4", "t5", "t6");

	private final RequestFixture fixture = new RequestFixture();

	private final FakeEngineClient engines = this.fixture.engines;

	private final Cancellation cancellation = new Cancellation();

	@AfterEach
	void assertNothingHeld() {
		this.fixture.assertAllReleased();
		this.fixture.canceller.close();
	}

	private RouterException failure() {
		return Exceptions.assertThrows(RouterException.class, () -> this.fixture.run(true, this.cancellation));
	}

	// Guards against failing a request because one prefill engine failed.
	@Test
	void prefillIsRetriedOnAnotherEngine() {
		this.engines.prefillFaults.add(() -> {
			throw FakeEngineClient.brokenConnection("p1");
		});
		assertThat(this.fixture.run(true, this.cancellation)).isEqualTo(COMPLETE_OUTPUT);
		assertThat(this.engines.prefillsAndDecodes().subList(0, 2)).containsExactly("prefill p1", "prefill p2")
			.inOrder();
		assertThat(this.fixture.releases.stream().map((release) -> release.failedEngineId())).contains("p1");
		assertThat(this.fixture.counters.retries()).isEqualTo(1);
	}

	// Guards against repeated or skipped tokens, and against a decode without KV cache,
	// after a decode engine crashed in the middle of a stream.
	@Test
	void lostStreamIsResumedAtItsOffsetWithNewPrefill() {
		this.engines.decodeFaults.add(new DecodeFault(3, this.engines.crash("d1")));
		assertThat(this.fixture.run(true, this.cancellation)).isEqualTo(COMPLETE_OUTPUT);
		assertThat(this.engines.prefillsAndDecodes()).containsExactly("prefill p1", "decode d1@0", "prefill p2",
				"decode d2@3");
		assertThat(this.fixture.counters.resumes()).isEqualTo(1);
		assertThat(this.fixture.counters.wastedPrefillTokens()).isEqualTo(FakeEngineClient.PROMPT_TOKENS);
	}

	// Guards against a dead engine that uses up the retry budget because each request is
	// placed on it once and then retried.
	@Test
	void deadEngineIsAvoidedByTheNextRequestsForAShortTime() {
		this.engines.dead.add("p1");
		for (int index = 0; index < 5; index++) {
			assertThat(this.fixture.run(true, new Cancellation())).isEqualTo(COMPLETE_OUTPUT);
		}
		assertThat(this.fixture.counters.retries()).isEqualTo(1);
		this.engines.dead.clear();
		this.fixture.time.advanceMillis(3_000);
		this.fixture.run(true, new Cancellation());
		assertThat(this.engines.prefillsAndDecodes().stream().filter("prefill p1"::equals)).hasSize(2);
	}

	// Guards against a second prefill when only the decode engine refused the request.
	@Test
	void prefillResultIsUsedAgainWhenDecodeNeverStarted() {
		this.engines.dead.add("d1");
		assertThat(this.fixture.run(true, this.cancellation)).isEqualTo(COMPLETE_OUTPUT);
		assertThat(this.engines.prefillsAndDecodes().stream().filter((call) -> call.startsWith("prefill"))).hasSize(1);
	}

	// Guards against failing a request whose prefill result expired on the engine before
	// the decode.
	@Test
	void prefillRunsAgainWhenItsResultNoLongerExists() {
		this.engines.prefillFaults.add(() -> this.engines.holds.clear());
		assertThat(this.fixture.run(true, this.cancellation)).isEqualTo(COMPLETE_OUTPUT);
		assertThat(this.engines.prefillsAndDecodes().stream().filter((call) -> call.startsWith("prefill"))).hasSize(2);
	}

	// Guards against endless retries, and against the verdict "not run" when an earlier
	// attempt may have run and only the last one was refused.
	@Test
	void attemptsAreBoundedAndTheirVerdictsCombined() {
		this.engines.prefillFaults.add(this.engines.crash("p1"));
		this.engines.dead.addAll(List.of("p2", "p3"));
		RouterException failure = failure();
		assertThat(failure.type()).isEqualTo(ErrorType.BACKEND_UNREACHABLE);
		assertThat(failure.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
		assertThat(this.engines.prefillsAndDecodes().stream().filter((call) -> call.startsWith("prefill")).count())
			.isAtMost(RetryPolicy.MAX_ATTEMPTS);
	}

	// Guards against a second run of a non-idempotent request.
	@Test
	void nonIdempotentRequestIsNotRetriedOnceItMayHaveRun() {
		this.engines.decodeFaults.add(new DecodeFault(0, () -> {
			throw FakeEngineClient.brokenConnection("d1");
		}));
		Exceptions.assertThrows(RouterException.class, () -> this.fixture.run(false, this.cancellation));
		assertThat(this.engines.prefillsAndDecodes().stream().filter((call) -> call.startsWith("decode"))).hasSize(1);
	}

	// Guards against using engines for a caller that disconnected while its request
	// waited for a placement.
	@Test
	void callerDisconnectedWhileQueuedReachesNoEngine() {
		this.fixture.onPlace = () -> this.cancellation.cancel(CancelReason.CALLER_GONE);
		RouterException failure = failure();
		assertThat(failure.type()).isEqualTo(ErrorType.CALLER_GONE);
		assertThat(failure.verdict()).isEqualTo(Verdict.NOT_RUN);
		assertThat(this.engines.prefillsAndDecodes()).isEmpty();
		assertThat(Thread.interrupted()).isFalse();
	}

	// Guards against a prefill result that stays held when the caller disconnects during
	// the prefill.
	@Test
	void callerDisconnectedDuringPrefillIsCancelledOnTheEngine() {
		this.engines.prefillFaults.add(() -> this.cancellation.cancel(CancelReason.CALLER_GONE));
		this.engines.decodeFaults.add(new DecodeFault(0, () -> this.cancellation.check(Verdict.MAY_HAVE_RUN)));
		assertThat(failure().type()).isEqualTo(ErrorType.CALLER_GONE);
		assertThat(this.fixture.counters.wastedPrefillTokens()).isEqualTo(FakeEngineClient.PROMPT_TOKENS);
	}

	// Guards against a decode that continues although writing to the caller failed.
	@Test
	void callerDisconnectedDuringStreamIsCancelledOnTheEngine() {
		Exceptions.assertThrows(CallerDisconnectedException.class,
				() -> this.fixture.run(true, this.cancellation, (data) -> {
					throw new CallerDisconnectedException(new java.io.IOException("broken pipe"));
				}));
		assertThat(this.cancellation.reason()).isEqualTo(CancelReason.CALLER_GONE);
	}

	// Guards against a resume that skips an event which the sink could not process.
	@Test
	void eventThatCannotBeUsedEndsTheRequest() {
		Exceptions.assertThrows(RouterException.class, () -> this.fixture.run(true, this.cancellation, (data) -> {
			throw new RouterException(ErrorType.BACKEND_FAILED, "d1", "an event is not valid JSON");
		}));
		assertThat(this.engines.prefillsAndDecodes().stream().filter((call) -> call.startsWith("decode"))).hasSize(1);
	}

	// Guards against the verdict "not run" for a request whose engine was removed from
	// the configuration while the request ran on it.
	@Test
	void engineThatIsRemovedWhileItFailsDoesNotChangeTheVerdict() {
		this.engines.decodeFaults.add(new DecodeFault(1, () -> {
			this.fixture.configuration.update((current) -> current.apply(new Ticket(2, "test",
					List.of("p1", "p2", "p3", "d1", "d2", "d3")
						.stream()
						.map((id) -> TicketChange.delete(ObjectKind.ENGINE, id))
						.toList())));
			this.engines.holds.clear();
			throw FakeEngineClient.brokenConnection("d1");
		}));
		assertThat(failure().verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
	}

	// Guards against a stream that continues after its key was withdrawn.
	@Test
	void withdrawnKeyEndsTheStream() {
		this.engines.decodeFaults.add(new DecodeFault(2, this.fixture::withdrawKey));
		List<String> events = new ArrayList<>();
		RouterException failure = Exceptions.assertThrows(RouterException.class,
				() -> this.fixture.run(true, this.cancellation, events::add));
		assertThat(failure.type()).isEqualTo(ErrorType.KEY_WITHDRAWN);
		assertThat(events).containsExactly("t1", "t2").inOrder();
	}

	// Guards against a shutdown that leaves engine memory held.
	@Test
	void shutdownEndsTheStreamWithAnError() {
		this.engines.decodeFaults.add(new DecodeFault(2, this.fixture.openRequests::endAll));
		assertThat(failure().type()).isEqualTo(ErrorType.SHUT_DOWN);
	}

	private void shutDownSoon() {
		this.fixture.shutdown.begin(this.fixture.time.nanos());
		this.fixture.time.advanceMillis(4_900);
	}

	// Guards against work on a request that leaves the queue too late to be complete
	// before a shutdown ends it.
	@Test
	void requestThatIsPlacedTooLateIsNotRun() {
		this.fixture.onPlace = this::shutDownSoon;
		RouterException failure = failure();
		assertThat(failure.type()).isEqualTo(ErrorType.NOT_READY);
		assertThat(failure.verdict()).isEqualTo(Verdict.NOT_RUN);
		assertThat(this.engines.prefillsAndDecodes()).isEmpty();
	}

	private void runBounded(int maxTokens) {
		this.fixture.run(CompletionRequest.parse("/v1/completions",
				JsonNodeFactory.instance.objectNode()
					.put("model", "model")
					.put("prompt", "hello")
					.put("max_tokens", maxTokens),
				false), new Cancellation(), (event) -> {
				});
	}

	// Guards against a request that leaves the queue after the release time and begins
	// because earlier ones used few of their output tokens.
	@Test
	void queuedRequestBeginsAfterTheReleaseOnlyIfItsLongestDurationFits() {
		this.engines.decodeFaults.add(new DecodeFault(3, () -> this.fixture.time.advanceMillis(50)));
		runBounded(1_000);
		int work = this.engines.prefillsAndDecodes().size();
		this.fixture.onPlace = () -> {
			this.fixture.shutdown.begin(this.fixture.time.nanos());
			this.fixture.time.advanceMillis(2_100);
			this.fixture.shutdown.poll(1, this.fixture.time.nanos());
		};
		RouterException failure = Exceptions.assertThrows(RouterException.class, () -> runBounded(1_000));
		assertThat(failure.verdict()).isEqualTo(Verdict.NOT_RUN);
		assertThat(this.engines.prefillsAndDecodes()).hasSize(work);
		this.fixture.onPlace = () -> {
		};
		runBounded(100);
	}

	// Guards against a resume that a shutdown would end, and against a verdict that
	// denies the first attempt.
	@Test
	void brokenStreamIsNotResumedTooLate() {
		this.engines.decodeFaults.add(new DecodeFault(2, () -> {
			shutDownSoon();
			throw FakeEngineClient.brokenConnection("d1");
		}));
		assertThat(failure().verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
		assertThat(this.engines.prefillsAndDecodes()).hasSize(2);
	}

	// Guards against a request that crashes one engine after the other when its caller
	// sends it again.
	@Test
	void requestCrashesAtMostTwoEnginesIncludingItsReSends() {
		this.engines.decodeFaults.add(new DecodeFault(0, this.engines.crash("d1")));
		this.engines.decodeFaults.add(new DecodeFault(0, this.engines.crash("d2")));
		assertThat(failure().type()).isEqualTo(ErrorType.CRASH_SUSPECT);
		assertThat(this.engines.dead).hasSize(2);
		assertThat(this.fixture.placed.get(this.fixture.placed.size() - 1).isolated()).isTrue();
		List<String> work = this.engines.prefillsAndDecodes();
		assertThat(failure().type()).isEqualTo(ErrorType.CRASH_SUSPECT);
		assertThat(this.engines.prefillsAndDecodes()).isEqualTo(work);
	}

	// Guards against refusing a harmless request because its engine happened to crash.
	@Test
	void suspectThatRunsToItsEndIsNoSuspectAnyMore() {
		this.engines.decodeFaults.add(new DecodeFault(3, this.engines.crash("d1")));
		assertThat(this.fixture.run(true, this.cancellation)).isEqualTo(COMPLETE_OUTPUT);
		assertThat(this.fixture.store.rows).isEmpty();
		assertThat(this.fixture.run(true, new Cancellation())).isEqualTo(COMPLETE_OUTPUT);
	}

	// Guards against ending all requests of a crashed engine because the store is down
	// and cannot grant another run.
	@Test
	void vmThatSawTheCrashRunsTheRequestAgainWithoutTheStore() {
		this.fixture.store.down = true;
		this.engines.decodeFaults.add(new DecodeFault(3, this.engines.crash("d1")));
		assertThat(this.fixture.run(true, this.cancellation)).isEqualTo(COMPLETE_OUTPUT);
	}

	// Guards against passing on a stream in which the engine left out a token.
	@Test
	void streamWithGapIsResumedBeforeTheGap() {
		this.engines.skippedTokens.add(4);
		assertThat(this.fixture.run(true, this.cancellation)).isEqualTo(COMPLETE_OUTPUT);
		assertThat(this.engines.prefillsAndDecodes()).contains("decode d2@3");
	}

}
