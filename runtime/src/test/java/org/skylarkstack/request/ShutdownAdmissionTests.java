package org.skylarkstack.request;

import java.util.Random;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.junit.jupiter.api.Test;
import org.skylarkstack.kernel.CancelReason;
import org.skylarkstack.kernel.Cancellation;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.Exceptions;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.kernel.Verdict;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against shutdowns that accept work that they then cut off, and against shutdowns
 * that refuse work that would have been complete in time.
 */
class ShutdownAdmissionTests {

	private static final long MILLI = 1_000_000L;

	private final ShutdownSequence sequence = new ShutdownSequence(2_000 * MILLI, 3_000 * MILLI, 1_000 * MILLI);

	private final ShutdownAdmission admission = new ShutdownAdmission(this.sequence);

	private static CompletionRequest completion(int outputBound) {
		return CompletionRequest.parse("/v1/completions",
				JsonNodeFactory.instance.objectNode()
					.put("model", "model")
					.put("prompt", "hello")
					.put("max_tokens", outputBound),
				true);
	}

	private long completionMillis(int outputBound, int delivered) {
		return this.admission.durations().completionNanos(completion(outputBound), delivered) / MILLI;
	}

	// Replays a steady load of services during a shutdown: requests of 100 to 400 ms.
	@Test
	void loadIsAcceptedUntilItWouldBeCutOff() {
		Random random = new Random(7);
		long endMillis = 5_000;
		long firstRefusalMillis = Long.MAX_VALUE;
		int cut = 0;
		for (long millis = -3_000; millis < endMillis; millis += 10) {
			if (millis == 0) {
				this.sequence.begin(0);
			}
			this.sequence.poll(1, millis * MILLI);
			long duration = 100 + random.nextInt(300);
			if (this.admission.permits("route", () -> this.admission.durations().serviceNanos("route", false),
					Verdict.NOT_RUN, millis * MILLI)) {
				this.admission.durations().recordService("route", duration * MILLI);
				cut += (millis + duration > endMillis) ? 1 : 0;
			}
			else {
				firstRefusalMillis = Math.min(firstRefusalMillis, millis);
			}
		}
		assertThat(cut).isEqualTo(0);
		assertThat(firstRefusalMillis).isAtLeast(endMillis - 510);
		assertThat(this.admission.refused()).isGreaterThan(0L);
	}

	@Test
	void refusalStatesWhetherTheRequestMayHaveRun() {
		this.sequence.begin(0);
		this.sequence.poll(1, 4_900 * MILLI);
		RouterException refusal = Exceptions.assertThrows(RouterException.class,
				() -> this.admission.check("model", () -> 100 * MILLI, Verdict.NOT_RUN, 4_900 * MILLI));
		assertThat(refusal.type()).isEqualTo(ErrorType.NOT_READY);
		assertThat(refusal.retryAfter()).isNotNull();
		RouterException failure = Exceptions.assertThrows(RouterException.class,
				() -> this.admission.check("model", () -> 100 * MILLI, Verdict.MAY_HAVE_RUN, 4_900 * MILLI));
		assertThat(failure.type()).isEqualTo(ErrorType.SHUT_DOWN);
		assertThat(failure.type().httpStatus()).isNotEqualTo(503);
	}

	@Test
	void waitingRequestIsRefusedWhenItCannotBeCompleteAnyMore() {
		Cancellation served = new Cancellation();
		Cancellation late = new Cancellation();
		this.sequence.begin(0);
		this.admission.waiting("model", () -> 800 * MILLI, Verdict.NOT_RUN, served).close();
		this.admission.waiting("model", () -> 800 * MILLI, Verdict.NOT_RUN, late);
		this.admission.endWaiting(4_000 * MILLI);
		assertThat(late.reason()).isNull();
		this.admission.endWaiting(4_001 * MILLI);
		assertThat(late.reason()).isEqualTo(CancelReason.SHUTDOWN);
		assertThat(served.reason()).isNull();
	}

	@Test
	void estimateOfCompletionsFollowsWhatWasObserved() {
		assertThat(completionMillis(101, 0)).isEqualTo(520 + 100 * 51);
		this.admission.durations().recordCompletion(completion(100), 300 * MILLI, 49 * 20 * MILLI, 50);
		assertThat(completionMillis(101, 0)).isEqualTo(300 + 49 * 20);
		assertThat(completionMillis(101, 40)).isEqualTo(300 + 9 * 20);
		assertThat(completionMillis(101, 60)).isEqualTo(300);
		assertThat(completionMillis(2_001, 0)).isEqualTo(300 + 2_000 * 20);
	}

}
