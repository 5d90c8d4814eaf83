package org.skylarkstack.bench;

import java.util.List;
import java.util.Locale;
import java.util.stream.LongStream;

/**
 * Runs seeded schedules of the limits and measures wrong refusals. Arguments: the number
 * of schedules (default 500) and the first seed (default 1). Exits with status 1 if a
 * window broke the bound.
 */
public final class LimitSchedules {

	private LimitSchedules() {
	}

	/**
	 * Runs the schedules and prints a summary.
	 * @param arguments the number of schedules and the first seed
	 */
	public static void main(String[] arguments) {
		int count = (arguments.length > 0) ? Integer.parseInt(arguments[0]) : 500;
		long first = (arguments.length > 1) ? Long.parseLong(arguments[1]) : 1;
		List<Outcome> outcomes = LongStream.range(first, first + count)
			.parallel()
			.mapToObj((seed) -> new Outcome(seed, LimitSchedule.run(seed)))
			.toList();
		List<Outcome> broken = outcomes.stream().filter((outcome) -> outcome.result().violation().isPresent()).toList();
		broken.forEach((outcome) -> System.out
			.println("violation seed=" + outcome.seed() + " " + outcome.result().violation().orElse("")));
		System.out.printf(Locale.ROOT, "schedules=%d first_seed=%d violations=%d reserved=%d refused=%d%n", count,
				first, broken.size(), outcomes.stream().mapToLong((outcome) -> outcome.result().reserved()).sum(),
				outcomes.stream().mapToLong((outcome) -> outcome.result().refused()).sum());
		for (RefusalScenario scenario : RefusalScenario.values()) {
			for (RefusalScenario.LimiterKind limiter : RefusalScenario.LimiterKind.values()) {
				System.out.println(scenario.measure(limiter, first));
			}
		}
		if (!broken.isEmpty()) {
			System.exit(1);
		}
	}

	private record Outcome(long seed, LimitScheduleResult result) {

	}

}
