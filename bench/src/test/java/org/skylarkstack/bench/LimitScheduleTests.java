package org.skylarkstack.bench;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Tests the fleet-wide limit of teams under seeded schedules of faults.
 */
class LimitScheduleTests {

	private static final int SCHEDULES_PER_RANGE = 9;

	/** Guards against a time window in which a team uses more than rate x t + burst. */
	@ParameterizedTest
	@ValueSource(longs = { 1_000, 2_000, 3_000, 4_000 })
	void noWindowExceedsRateAndBurst(long firstSeed) {
		for (long seed = firstSeed; seed < firstSeed + SCHEDULES_PER_RANGE; seed++) {
			LimitScheduleResult result = LimitSchedule.run(seed);
			assertWithMessage("seed %s", seed).that(result.violation()).isEmpty();
			assertWithMessage("seed %s", seed).that(result.reserved()).isGreaterThan(0L);
		}
	}

	/**
	 * Guards against a check that accepts a time window with more than rate x t + burst.
	 */
	@Test
	void checkReportsAWindowOverRateTimesTimePlusBurst() {
		LedgerCheck check = new LedgerCheck();
		check.addLimits(0, Long.MAX_VALUE, 10, 100);
		check.record(0, 50);
		check.record(LimitSimulation.SECOND_NANOS, 60);
		assertThat(check.violation()).isEmpty();
		check.record(2 * LimitSimulation.SECOND_NANOS, 11);
		assertThat(check.violation()).isPresent();
	}

	/**
	 * Guards against refunds that are offset against later reservations and hide their
	 * excess.
	 */
	@Test
	void refundsDoNotOffsetReservationsOfLaterWindows() {
		LedgerCheck check = new LedgerCheck();
		check.addLimits(0, Long.MAX_VALUE, 10, 100);
		check.record(0, 100);
		check.record(1, -100);
		check.record(2, 101);
		assertThat(check.violation()).isPresent();
	}

}
