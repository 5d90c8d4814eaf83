package org.skylarkstack.bench;

import java.util.List;
import java.util.Locale;
import java.util.stream.LongStream;

/**
 * Runs seeded fault schedules against the lending limits and measures wrong refusals.
 * Arguments: the number of schedules (default 500) and the first seed (default 1). Exits
 * with status 1 if a team used more than rate x t + burst in any time window.
 */
public final class LimitSchedules {

	private LimitSchedules() {
	}

	/**
	 * Runs the schedules and prints a summary.
	 * @param arguments the number of schedules and the first seed
	 */
	public static void main(String[] arguments) {
		int scheduleCount = (arguments.length > 0) ? Integer.parseInt(arguments[0]) : 500;
		long firstSeed = (arguments.length > 1) ? Long.parseLong(arguments[1]) : 1;
		List<SeedResult> results = LongStream.range(firstSeed, firstSeed + scheduleCount)
			.parallel()
			.mapToObj((seed) -> new SeedResult(seed, LimitSchedule.run(seed)))
			.toList();
		List<SeedResult> violations = results.stream()
			.filter((seedResult) -> seedResult.result().violation().isPresent())
			.toList();
		violations.forEach((seedResult) -> System.out
			.println("violation seed=" + seedResult.seed() + " " + seedResult.result().violation().orElse("")));
		System.out.printf(Locale.ROOT, "schedules=%d first_seed=%d violations=%d reserved=%d refused=%d%n",
				scheduleCount, firstSeed, violations.size(),
				results.stream().mapToLong((seedResult) -> seedResult.result().reserved()).sum(),
				results.stream().mapToLong((seedResult) -> seedResult.result().refused()).sum());
		for (RefusalScenario scenario : RefusalScenario.values()) {
			for (RefusalScenario.LimiterKind limiter : RefusalScenario.LimiterKind.values()) {
				System.out.println(scenario.measure(limiter, firstSeed));
			}
		}
		if (!violations.isEmpty()) {
			System.exit(1);
		}
	}

	private record SeedResult(long seed, LimitScheduleResult result) {

	}

}
