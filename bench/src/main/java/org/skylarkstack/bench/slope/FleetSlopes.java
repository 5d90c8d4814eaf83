package org.skylarkstack.bench.slope;

import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.sun.management.OperatingSystemMXBean;
import org.skylarkstack.configuration.EngineRole;
import org.skylarkstack.configuration.Team;
import org.skylarkstack.configuration.Ticket;
import org.skylarkstack.configuration.TicketChange;
import org.skylarkstack.fleet.EnginePlan;
import org.skylarkstack.fleet.FleetClient;
import org.skylarkstack.fleet.FleetPlan;
import org.skylarkstack.fleet.LocalFleet;
import org.skylarkstack.fleet.VmPlan;

/**
 * Measures the control cost of idle daemons and the time until a ticket is in force on
 * all of them, as a function of the number of daemons. All daemons share this process, so
 * CPU time and heap are those of the process divided by the number of daemons.
 */
final class FleetSlopes {

	private static final int[] DAEMONS = { 7, 14, 28, 42 };

	private static final int DATA_CENTRES = 5;

	private static final int TICKETS = 10;

	private static final long WARM_UP_MILLIS = 8_000;

	private static final long WINDOW_MILLIS = 10_000;

	private static final long POLL_MILLIS = 5;

	private static final double NANOS_PER_MILLI = 1e6;

	private static final double MILLIS_PER_SECOND = 1e3;

	private static final Duration READY_TIMEOUT = Duration.ofSeconds(60);

	private final List<SlopePoint> peerBytes = new ArrayList<>();

	private final List<SlopePoint> cpuCores = new ArrayList<>();

	private final List<SlopePoint> heap = new ArrayList<>();

	private final List<SlopePoint> reads = new ArrayList<>();

	private final List<SlopePoint> writes = new ArrayList<>();

	private final List<SlopePoint> applyMillis = new ArrayList<>();

	static List<Slope> measure(int repeats) {
		FleetSlopes slopes = new FleetSlopes();
		for (int repeat = 0; repeat < repeats; repeat++) {
			for (int daemons : DAEMONS) {
				slopes.measure(daemons, repeat);
				System.out.printf("measured %d daemons, repeat %d%n", daemons, repeat);
			}
		}
		return List.of(Slope.fit("peer traffic sent by a daemon", "daemons", "bytes/s", slopes.peerBytes),
				Slope.fit("processor time of an idle daemon", "daemons", "share of a core", slopes.cpuCores),
				Slope.fit("heap of an idle daemon", "daemons", "bytes", slopes.heap),
				Slope.fit("store reads of an idle fleet", "daemons", "operations/s", slopes.reads),
				Slope.fit("store writes of an idle fleet", "daemons", "operations/s", slopes.writes),
				Slope.fit("time until a ticket is in force everywhere", "daemons", "ms", slopes.applyMillis));
	}

	private void measure(int daemons, int repeat) {
		long heapBefore = HeapMeter.usedBytes();
		try (LocalFleet fleet = LocalFleet.start(plan(daemons))) {
			FleetClient client = new FleetClient(fleet);
			client.submit(fleet.vmIds().get(0), fleet.firstTicket());
			if (client.awaitReady(READY_TIMEOUT) < 0) {
				throw new IllegalStateException("%d daemons did not become ready".formatted(daemons));
			}
			sleep(WARM_UP_MILLIS);
			measureIdle(fleet, daemons, repeat);
			this.heap.add(new SlopePoint(daemons, repeat, (HeapMeter.usedBytes() - heapBefore) / (double) daemons));
			for (int ticket = 2; ticket < 2 + TICKETS; ticket++) {
				this.applyMillis.add(new SlopePoint(daemons, repeat, millisUntilApplied(fleet, client, ticket)));
			}
		}
	}

	private void measureIdle(LocalFleet fleet, int daemons, int repeat) {
		OperatingSystemMXBean system = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
		long sentBytesBefore = sentBytes(fleet);
		long readsBefore = reads(fleet);
		long writesBefore = fleet.platform().faults().count("TransactWriteItems");
		long cpuNanosBefore = system.getProcessCpuTime();
		long started = System.nanoTime();
		sleep(WINDOW_MILLIS);
		double seconds = (System.nanoTime() - started) / NANOS_PER_MILLI / MILLIS_PER_SECOND;
		double cpuSeconds = (system.getProcessCpuTime() - cpuNanosBefore) / NANOS_PER_MILLI / MILLIS_PER_SECOND;
		this.peerBytes.add(new SlopePoint(daemons, repeat, (sentBytes(fleet) - sentBytesBefore) / seconds / daemons));
		this.cpuCores.add(new SlopePoint(daemons, repeat, cpuSeconds / seconds / daemons));
		this.reads.add(new SlopePoint(daemons, repeat, (reads(fleet) - readsBefore) / seconds));
		this.writes.add(new SlopePoint(daemons, repeat,
				(fleet.platform().faults().count("TransactWriteItems") - writesBefore) / seconds));
	}

	private static long sentBytes(LocalFleet fleet) {
		return fleet.vmIds().stream().mapToLong((vmId) -> fleet.daemon(vmId).transport().counters().sentBytes()).sum();
	}

	private static long reads(LocalFleet fleet) {
		return fleet.platform().faults().count("GetItem") + fleet.platform().faults().count("Query");
	}

	private static double millisUntilApplied(LocalFleet fleet, FleetClient client, int number) {
		long started = System.nanoTime();
		client.submit(fleet.vmIds().get(0), new Ticket(number, "bench",
				List.of(TicketChange.set(new Team("team", 1_000L + number, 60_000, 1, null)))));
		while (fleet.vmIds().stream().anyMatch((vmId) -> fleet.daemon(vmId).appliedNumber() < number)) {
			sleep(POLL_MILLIS);
		}
		return (System.nanoTime() - started) / NANOS_PER_MILLI;
	}

	private static FleetPlan plan(int daemons) {
		List<VmPlan> vms = new ArrayList<>();
		for (int vm = 0; vm < daemons; vm++) {
			vms.add(new VmPlan("vm-" + vm, "dc-" + vm % DATA_CENTRES));
		}
		List<EnginePlan> engines = List.of(
				new EnginePlan("prefill", "dc-0", "model", EngineRole.PREFILL, 20, 64, 20_000, 20),
				new EnginePlan("decode", "dc-1", "model", EngineRole.DECODE, 20, 64, 20_000, 20));
		return new FleetPlan(vms, engines, List.of(new Team("team", 1_000, 60_000, 1, null)), Map.of("key", "team"),
				"fair-queue");
	}

	private static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("interrupted", ex);
		}
	}

}
