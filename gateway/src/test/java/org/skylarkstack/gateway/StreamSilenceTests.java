package org.skylarkstack.gateway;

import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link StreamSilence}.
 */
class StreamSilenceTests {

	private static ServiceRoute route(boolean resumable, long targetMillis, long gapMillis) {
		return new ServiceRoute("r", "host", "/", RouteKind.STREAM, List.of(new WeightedService("model", 1)), 2, 30_000,
				targetMillis, gapMillis, 1, false, resumable);
	}

	/**
	 * Guards against a stalled stream that stays at its engine, and against cutting one
	 * that no other engine could resume.
	 */
	@Test
	void aResumableStreamMovesAsSoonAsItCan() {
		StreamSilence silence = StreamSilence.of(route(true, 900, 300));
		assertThat(silence.firstMillis()).isEqualTo(1_500);
		assertThat(silence.furtherMillis(1_500, true)).isEqualTo(0);
		assertThat(silence.furtherMillis(1_500, false)).isEqualTo(1_500);
		assertThat(silence.furtherMillis(3_000, false)).isEqualTo(960);
		assertThat(silence.furtherMillis(3_960, false)).isEqualTo(0);
	}

	/**
	 * Guards against ending a stream that may not be resumed while its caller still
	 * waits.
	 */
	@Test
	void anyOtherStreamEndsWhenItsCallerHasLeft() {
		assertThat(StreamSilence.of(route(false, 900, 300)).firstMillis()).isEqualTo(3_960);
		assertThat(StreamSilence.of(route(false, 100, 50)).firstMillis()).isEqualTo(2_200);
		assertThat(StreamSilence.of(route(false, 100, 1_000)).firstMillis()).isEqualTo(8_800);
		assertThat(StreamSilence.of(route(false, 900, 300)).furtherMillis(1_500, true)).isEqualTo(2_460);
	}

}
