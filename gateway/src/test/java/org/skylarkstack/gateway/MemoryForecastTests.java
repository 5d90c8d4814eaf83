package org.skylarkstack.gateway;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.skylarkstack.peers.RequestMemory;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link MemoryForecast}.
 */
class MemoryForecastTests {

	/**
	 * Guards against a burst that is admitted because it fits while its responses are
	 * short, but not once they have grown.
	 */
	@Test
	void requestsThatGrowTogetherPeakWhenTheShortestEnds() {
		RequestMemory fresh = new RequestMemory(5_000, 3_500);
		assertThat(MemoryForecast.peakTokens(List.of(fresh, fresh, fresh))).isEqualTo(3 * 8_500);
	}

	/**
	 * Guards against a forecast that is too high because it counts memory of a request
	 * that ends before the others have grown.
	 */
	@Test
	void aRequestAboutToEndFreesMemoryForGrowth() {
		RequestMemory ending = new RequestMemory(8_000, 100);
		RequestMemory fresh = new RequestMemory(5_000, 3_500);
		assertThat(MemoryForecast.peakTokens(List.of(ending, fresh))).isEqualTo(8_100 + 5_100);
	}

	/** Guards against a forecast that is lower than the memory occupied now. */
	@Test
	void requestsWithoutGrowthAddUp() {
		assertThat(MemoryForecast.peakTokens(List.of(new RequestMemory(10, 0), new RequestMemory(20, 0))))
			.isEqualTo(30);
		assertThat(MemoryForecast.peakTokens(List.of())).isEqualTo(0);
	}

}
