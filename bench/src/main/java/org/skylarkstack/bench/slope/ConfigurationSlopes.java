package org.skylarkstack.bench.slope;

import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.List;

import org.skylarkstack.configuration.ApiKey;
import org.skylarkstack.configuration.Configuration;
import org.skylarkstack.configuration.Team;
import org.skylarkstack.configuration.Ticket;
import org.skylarkstack.configuration.TicketChange;
import org.skylarkstack.misc.Hashes;

/**
 * Measures the heap of the merged configuration and the CPU time to apply a ticket as a
 * function of the number of teams, each with one API key.
 */
final class ConfigurationSlopes {

	private static final int[] TEAMS = { 5_000, 10_000, 20_000, 40_000 };

	private static final int TEAMS_PER_TICKET = 500;

	private static final int CHANGES = 20;

	private static final double NANOS_PER_MICRO = 1e3;

	private ConfigurationSlopes() {
	}

	static List<Slope> measure(int repeats) {
		List<SlopePoint> bytes = new ArrayList<>();
		List<SlopePoint> micros = new ArrayList<>();
		for (int repeat = 0; repeat < repeats; repeat++) {
			for (int teams : TEAMS) {
				long before = HeapMeter.usedBytes();
				Configuration configuration = load(teams);
				bytes.add(new SlopePoint(teams, repeat, HeapMeter.usedBytes() - before));
				micros.add(new SlopePoint(teams, repeat, microsPerChange(configuration)));
			}
		}
		return List.of(Slope.fit("configuration heap", "teams", "bytes", bytes),
				Slope.fit("processor time to apply one ticket", "teams", "microseconds", micros));
	}

	private static Configuration load(int teams) {
		Configuration configuration = Configuration.EMPTY;
		long number = 1;
		for (int first = 0; first < teams; first += TEAMS_PER_TICKET) {
			List<TicketChange> changes = new ArrayList<>();
			for (int team = first; team < Math.min(teams, first + TEAMS_PER_TICKET); team++) {
				changes.add(TicketChange.set(team(team, 1_000)));
				changes.add(TicketChange.set(new ApiKey("key-" + team, Hashes.sha256("key-" + team), "team-" + team)));
			}
			configuration = configuration.apply(new Ticket(number++, "bench", changes));
		}
		return configuration;
	}

	private static Team team(int team, long rate) {
		return new Team("team-" + team, rate, rate * 2, 1, null);
	}

	private static double microsPerChange(Configuration start) {
		Configuration configuration = start;
		long started = threadNanos();
		for (int change = 0; change < CHANGES; change++) {
			configuration = configuration.apply(new Ticket(configuration.appliedNumber() + 1, "bench",
					List.of(TicketChange.set(team(change, 2_000)))));
		}
		return (threadNanos() - started) / NANOS_PER_MICRO / CHANGES;
	}

	private static long threadNanos() {
		return ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
	}

}
