package org.skylarkstack.gateway;

import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvFileSource;

import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Tests of parts of prompts that crash engines, across a simulated fleet. The bounds are
 * those of the platform's rules.
 */
class CrashingPartFleetTests {

	private static final long CONTACT_NANOS = 3 * CrashingPartFleet.SECOND;

	private static final int COUNTED_CRASHES = 5;

	private static final int MAX_LATE_ARRIVALS = 3;

	private static final int MIN_COUNTED_REQUESTS = 20;

	/**
	 * Guards against a part that crashes engines one after the other, and against the
	 * refusal of sound requests that share other parts with it.
	 */
	@ParameterizedTest(name = "{0}")
	@CsvFileSource(resources = "/crashing-parts.csv", numLinesToSkip = 1, delimiter = '|')
	void aPartThatCrashesEnginesIsBlockedAndOthersAreNot(String name, int daemons, int engines,
			double requestsPerSecond, double crashingShare, int crashingParts, boolean commonFirstPart,
			boolean provenPart, boolean serverFailures, boolean daemonRestarts, int seeds) {
		CrashingPartFleet.Load load = new CrashingPartFleet.Load(daemons, engines, requestsPerSecond, crashingShare,
				crashingParts, commonFirstPart, provenPart, serverFailures, daemonRestarts);
		int judged = 0;
		for (long seed = 1; seed <= seeds; seed++) {
			CrashingPartFleet fleet = new CrashingPartFleet(load, seed);
			fleet.simulate();
			for (int part = 0; part < crashingParts; part++) {
				judged += judge("%s, seed %d, part %d".formatted(name, seed, part), fleet, part) ? 1 : 0;
			}
		}
		assertWithMessage("%s: runs with enough sound requests", name).that(judged).isAtLeast(seeds);
	}

	// Returns whether there were enough sound requests after the crashes to judge their
	// share.
	private static boolean judge(String run, CrashingPartFleet fleet, int part) {
		List<CrashingPartFleet.CrashingArrival> crashes = fleet.partCrashes()
			.stream()
			.filter((crash) -> crash.part() == part)
			.toList();
		assertWithMessage(run).that(crashes).isNotEmpty();
		long counted = crashes.get(Math.min(COUNTED_CRASHES, crashes.size()) - 1).nanos();
		long late = fleet.crashingArrivals()
			.stream()
			.filter((arrival) -> arrival.part() == part && arrival.nanos() - counted > CONTACT_NANOS
					&& arrival.nanos() - arrival.daemonStartNanos() > CONTACT_NANOS)
			.count();
		assertWithMessage("%s: requests at engines after %s crashes", run, crashes.size()).that(late)
			.isAtMost(MAX_LATE_ARRIVALS);
		List<CrashingPartFleet.Outcome> before = fleet.outcomes()
			.stream()
			.filter((outcome) -> outcome.nanos() < CrashingPartFleet.SOUND_ONLY_NANOS)
			.toList();
		List<CrashingPartFleet.Outcome> after = fleet.outcomes()
			.stream()
			.filter((outcome) -> outcome.nanos() - counted > 2 * CONTACT_NANOS)
			.toList();
		assertWithMessage(run).that(before.size()).isAtLeast(MIN_COUNTED_REQUESTS);
		if (after.size() < MIN_COUNTED_REQUESTS) {
			return false;
		}
		assertWithMessage("%s: share of sound requests that begin", run).that(startedShare(after))
			.isAtLeast(startedShare(before) / 2);
		return true;
	}

	private static double startedShare(List<CrashingPartFleet.Outcome> outcomes) {
		return (double) outcomes.stream().filter(CrashingPartFleet.Outcome::started).count() / outcomes.size();
	}

}
