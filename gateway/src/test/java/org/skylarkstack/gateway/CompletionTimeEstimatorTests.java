package org.skylarkstack.gateway;

import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link CompletionTimeEstimator} and the upper lengths of
 * {@link OutputLengthEstimator}, which together decide whether a request begins while a
 * daemon stops.
 */
class CompletionTimeEstimatorTests {

	private static final long MAX_MILLIS = 14_000;

	private static final long TARGET_MILLIS = 400;

	private static final int STREAMS = 1_000;

	private static final int MAX_TOKENS = 6_500;

	private final CompletionTimeEstimator times = new CompletionTimeEstimator();

	private final OutputLengthEstimator lengths = new OutputLengthEstimator();

	/**
	 * Guards against a daemon without any statistics that takes requests it cannot end,
	 * or that refuses requests to plain services from the beginning of its stop.
	 */
	@Test
	void theTargetOrTheLongestTimeIsAssumedBeforeTheFirstResponse() {
		assertThat(this.times.responseMillis("route", TARGET_MILLIS, MAX_MILLIS)).isEqualTo(TARGET_MILLIS);
		assertThat(this.times.responseMillis("route", TARGET_MILLIS, 100)).isEqualTo(100);
		assertThat(this.times.streamMillis("service", 10, MAX_MILLIS)).isEqualTo(MAX_MILLIS);
	}

	/** Guards against estimates that many responses of a route exceed. */
	@Test
	void fewResponsesTakeLongerThanTheEstimate() {
		SplittableRandom random = new SplittableRandom(1);
		int longer = 0;
		for (int response = 0; response < STREAMS; response++) {
			long millis = (random.nextInt(50) == 0) ? random.nextLong(100, 220) : random.nextLong(15, 60);
			longer += (millis > this.times.responseMillis("route", TARGET_MILLIS, MAX_MILLIS)) ? 1 : 0;
			this.times.recordResponse("route", millis);
		}
		assertThat(longer).isLessThan(STREAMS / 20);
		assertThat(this.times.responseMillis("route", TARGET_MILLIS, MAX_MILLIS)).isLessThan(300L);
	}

	/**
	 * Guards against streams that are cut off because their callers' estimates of the
	 * length were too low, and against an estimate that refuses all streams.
	 */
	@Test
	void fewStreamsTakeLongerThanTheEstimate() {
		SplittableRandom random = new SplittableRandom(2);
		int longer = 0;
		int shorterThanMax = 0;
		for (int stream = 0; stream < STREAMS; stream++) {
			long tokens = 500 + random.nextLong(MAX_TOKENS - 500);
			long stated = (long) (tokens * Math.exp(random.nextDouble(-0.7, 0.7)));
			long millis = (long) (tokens * random.nextDouble(0.9, 1.3));
			RequestFacts facts = new RequestFacts("id", "host", null, -1, 100, MAX_TOKENS, stated, null, List.of());
			long expected = this.lengths.expectedTokens("route", facts);
			long upper = this.lengths.upperTokens("route", facts, expected);
			long estimate = this.times.streamMillis("service", upper, MAX_MILLIS);
			longer += (millis > estimate) ? 1 : 0;
			shorterThanMax += (estimate < MAX_TOKENS) ? 1 : 0;
			this.lengths.update("route", tokens, expected);
			this.times.recordStream("service", tokens, millis);
		}
		assertThat(longer).isLessThan(STREAMS / 10);
		assertThat(shorterThanMax).isGreaterThan(STREAMS / 4);
	}

}
