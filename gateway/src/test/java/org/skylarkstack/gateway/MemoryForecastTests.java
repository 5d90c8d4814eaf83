package org.skylarkstack.gateway;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.skylarkstack.peers.EngineRun;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link MemoryForecast}.
 */
class MemoryForecastTests {

	/** Guards against admitting a burst that fits only while its answers are short. */
	@Test
	void requestsThatGrowTogetherPeakWhenTheShortestEnds() {
		EngineRun fresh = new EngineRun(5_000, 3_500);
		assertThat(MemoryForecast.peakTokens(List.of(fresh, fresh, fresh))).isEqualTo(3 * 8_500);
	}

	/** Guards against counting memory that is freed before others have grown. */
	@Test
	void aRequestAboutToEndMakesRoomForGrowth() {
		EngineRun ending = new EngineRun(8_000, 100);
		EngineRun fresh = new EngineRun(5_000, 3_500);
		assertThat(MemoryForecast.peakTokens(List.of(ending, fresh))).isEqualTo(8_100 + 5_100);
	}

	/** Guards against a forecast below what is occupied now. */
	@Test
	void requestsWithoutGrowthAddUp() {
		assertThat(MemoryForecast.peakTokens(List.of(new EngineRun(10, 0), new EngineRun(20, 0)))).isEqualTo(30);
		assertThat(MemoryForecast.peakTokens(List.of())).isEqualTo(0);
	}

}
