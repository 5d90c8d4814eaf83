package org.skylarkstack.bench;

import java.util.List;
import java.util.Map;

import org.HdrHistogram.Histogram;
import org.junit.jupiter.api.Test;
import org.skylarkstack.configuration.Team;
import org.skylarkstack.schedule.RequestClass;
import org.skylarkstack.standin.EngineWorkCounts;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link FigureCalculator} and its parts.
 */
class FigureCalculatorTests {

	private static final long SECOND = 1_000_000_000;

	private static final TeamShare NORTH = new TeamShare("north", 0.5, 1);

	private static final Team LIMITED = new Team("north", 100, 1_000, 1, null);

	private static final RequestKind LOOKUP = new RequestKind("lookup", RequestTarget.COMPLETION, 1, "model", 200, 0,
			50, RequestClass.INTERACTIVE);

	private static final RequestKind BOOKING = RequestKind.service("booking", RequestTarget.ENTRY, 1, "/bookings");

	private static Outcome outcome(int number, RequestKind kind, long sent, long end, String verdict, String error,
			int tokens, boolean endMarkerReceived, boolean contentCorrect) {
		int status = error.isEmpty() ? 200 : 503;
		return new Outcome(new Arrival(number, sent, NORTH, kind, 200, 50, 0), "tag-" + number, "vm-1", sent,
				sent + SECOND / 10, end, status, verdict, error, tokens, 0, endMarkerReceived, contentCorrect, false);
	}

	private static Outcome completeOutcome(int number, long sent, long end) {
		return outcome(number, LOOKUP, sent, end, "", "", 50, true, true);
	}

	private static RunFigures figures(List<Outcome> outcomes, Map<String, EngineWorkCounts> workCounts,
			Map<String, Long> effects) {
		return new FigureCalculator(List.of(LIMITED), outcomes, workCounts, effects, 10)
			.figures(new Histogram(LoadRunner.MAX_TRACKABLE_NANOS, 3), 0, 0);
	}

	/**
	 * Guards against violations that are not counted: a truncated response with an end
	 * marker, a refused request that a backend server ran, a double effect and a lost
	 * entry.
	 */
	@Test
	void reportsEachBreachThatOccurred() {
		Outcome truncated = outcome(1, LOOKUP, 0, SECOND, "", "", 20, true, false);
		Outcome refused = outcome(2, LOOKUP, 0, SECOND, Outcome.NOT_RUN, "QUEUE_FULL", 0, false, false);
		Outcome booked = outcome(3, BOOKING, 0, SECOND, "", "", 0, false, false);
		Outcome lost = outcome(4, BOOKING, 0, SECOND, "", "", 0, false, false);
		Breaches breaches = figures(List.of(truncated, refused, booked, lost),
				Map.of("tag-2", new EngineWorkCounts(1, 200, 0, 0, 0, 0)), Map.of("tag-3", 2L))
			.breaches();
		assertThat(breaches).isEqualTo(new Breaches(0, 1, 1, 1, 0, 0, 0, 1));
	}

	/**
	 * Guards against violations that are counted for complete responses, refused requests
	 * that did not run and single effects.
	 */
	@Test
	void reportsNoBreachForARunWithoutFaults() {
		Outcome refused = outcome(1, LOOKUP, 0, SECOND, Outcome.NOT_RUN, "QUEUE_FULL", 0, false, false);
		Outcome booked = outcome(2, BOOKING, 0, SECOND, "", "", 0, false, false);
		RunFigures figures = figures(List.of(completeOutcome(0, 0, SECOND), refused, booked),
				Map.of("tag-0", new EngineWorkCounts(1, 200, 0, 1, 50, 1)), Map.of("tag-2", 1L));
		assertThat(figures.breaches().total()).isEqualTo(0);
		assertThat(figures.goodput()).isWithin(1e-9).of(0.1);
		assertThat(figures.wastedPrefill()).isEqualTo(0.0);
	}

	/**
	 * Guards against a wasted-prefill figure that omits failed requests or repeated
	 * prefills.
	 */
	@Test
	void countsPrefillsOfFailedRequestsAndRepeatedPrefillsAsWasted() {
		Outcome failed = outcome(1, LOOKUP, 0, SECOND, "may-have-run", "BACKEND_FAILED", 3, false, false);
		RunFigures figures = figures(
				List.of(completeOutcome(0, 0, SECOND), failed), Map.of("tag-0",
						new EngineWorkCounts(2, 400, 0, 2, 70, 1), "tag-1", new EngineWorkCounts(1, 100, 0, 1, 3, 0)),
				Map.of());
		assertThat(figures.wastedPrefillTokens()).isEqualTo(300);
		assertThat(figures.wastedPrefill()).isWithin(1e-9).of(0.6);
	}

	/**
	 * Guards against an excess that is missed because it occurs only in a window within
	 * the run.
	 */
	@Test
	void reportsTheLargestExcessOfAnyWindow() {
		List<Outcome> spread = List.of(completeOutcome(0, 0, SECOND), completeOutcome(1, 20 * SECOND, 21 * SECOND),
				completeOutcome(2, 40 * SECOND, 41 * SECOND));
		assertThat(new TokenLedger(LIMITED, spread).excess()).isEqualTo(0);
		List<Outcome> burst = List.of(completeOutcome(0, 0, SECOND), completeOutcome(1, 0, SECOND),
				completeOutcome(2, 0, SECOND), completeOutcome(3, 0, SECOND), completeOutcome(4, 0, SECOND));
		assertThat(new TokenLedger(LIMITED, burst).excess()).isEqualTo(5 * 250 - 1_000 - 100);
	}

	/**
	 * Guards against wrong refusals that are not counted and refusals above the limit
	 * that are.
	 */
	@Test
	void countsOnlyRefusalsWithinTheLimitAsWrong() {
		Outcome early = outcome(9, LOOKUP, SECOND, SECOND, Outcome.NOT_RUN, "RATE_LIMITED", 0, false, false);
		assertThat(new TokenLedger(LIMITED, List.of(completeOutcome(0, 0, 2 * SECOND), early)).wrongRefusals())
			.isEqualTo(1);
		List<Outcome> full = List.of(completeOutcome(0, 0, 9 * SECOND), completeOutcome(1, 0, 9 * SECOND),
				completeOutcome(2, 0, 9 * SECOND), early);
		assertThat(new TokenLedger(LIMITED, full).wrongRefusals()).isEqualTo(0);
	}

	/** Guards against shares that exceed a demand or do not follow the weights. */
	@Test
	void fairSharesFollowWeightsAndStayWithinDemands() {
		Map<String, Double> shares = FairShare.divide(100, Map.of("a", 10.0, "b", 200.0, "c", 200.0),
				Map.of("a", 1.0, "b", 2.0, "c", 1.0));
		assertThat(shares.get("a")).isWithin(1e-6).of(10);
		assertThat(shares.get("b")).isWithin(1e-6).of(60);
		assertThat(shares.get("c")).isWithin(1e-6).of(30);
	}

	/**
	 * Guards against arrivals that differ between runs with the same seed, and against a
	 * wrong mean rate.
	 */
	@Test
	void arrivalsDependOnlyOnTheSeedAndMatchTheMeanRate() {
		BenchProfile profile = BenchProfile.named("school");
		List<Arrival> arrivals = new ArrivalPlan(profile, 7).plan(50, 600, "", 1);
		assertThat(new ArrivalPlan(profile, 7).plan(50, 600, "", 1)).isEqualTo(arrivals);
		assertThat(new ArrivalPlan(profile, 8).plan(50, 600, "", 1)).isNotEqualTo(arrivals);
		assertThat((double) arrivals.size()).isWithin(6_000).of(30_000);
		List<Arrival> noisy = new ArrivalPlan(profile, 7).plan(50, 600, "island", 10);
		assertThat(noisy.stream().filter((arrival) -> arrival.team().id().equals("island")).count())
			.isGreaterThan(5 * arrivals.stream().filter((arrival) -> arrival.team().id().equals("island")).count());
	}

	/**
	 * Guards against steps that are not sorted by time and against an unknown fault that
	 * is ignored.
	 */
	@Test
	void parsesFaultSchedulesInTimeOrderAndRejectsUnknownFaults() {
		assertThat(FaultStep.parse("9:store-down,5:crash-engine:summary-model-1"))
			.containsExactly(new FaultStep(5, FaultKind.CRASH_ENGINE, "summary-model-1"),
					new FaultStep(9, FaultKind.STORE_DOWN, ""))
			.inOrder();
		IllegalArgumentException failure = null;
		try {
			FaultStep.parse("5:no-such-fault");
		}
		catch (IllegalArgumentException ex) {
			failure = ex;
		}
		assertThat(failure).isNotNull();
	}

}
