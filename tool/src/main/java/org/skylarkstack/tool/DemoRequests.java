package org.skylarkstack.tool;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.skylarkstack.configuration.EngineRole;
import org.skylarkstack.configuration.Team;
import org.skylarkstack.fleet.EnginePlan;
import org.skylarkstack.fleet.FleetAnswer;
import org.skylarkstack.fleet.FleetClient;
import org.skylarkstack.fleet.FleetPlan;
import org.skylarkstack.fleet.LocalFleet;
import org.skylarkstack.fleet.VmPlan;

/**
 * Requests of the demo.
 */
final class DemoRequests {

	static final String CALLER_KEY = "demo-caller-key";

	static final String MODEL = "summary-model";

	private static final Duration IN_FORCE_TIMEOUT = Duration.ofSeconds(10);

	private final LocalFleet fleet;

	private final FleetClient client;

	DemoRequests(LocalFleet fleet) {
		this.fleet = fleet;
		this.client = new FleetClient(fleet);
	}

	static FleetPlan plan() {
		List<VmPlan> vms = List.of(new VmPlan("vm-a1", "dc-a"), new VmPlan("vm-b1", "dc-b"),
				new VmPlan("vm-c1", "dc-c"));
		List<EnginePlan> engines = List.of(
				new EnginePlan("prefill-1", "dc-a", MODEL, EngineRole.PREFILL, 20, 64, 20_000, 10),
				new EnginePlan("decode-1", "dc-b", MODEL, EngineRole.DECODE, 20, 64, 20_000, 10),
				new EnginePlan("decode-2", "dc-c", MODEL, EngineRole.DECODE, 20, 64, 20_000, 10));
		return new FleetPlan(vms, engines, List.of(new Team("registers", 10_000, 60_000, 1, null)),
				Map.of(CALLER_KEY, "registers"), "fair-queue");
	}

	List<DemoResult> run() {
		List<DemoResult> results = new ArrayList<>();
		FleetAnswer recorded = this.client.submit(this.fleet.vmIds().get(0), this.fleet.firstTicket());
		results.add(result("change ticket 1", recorded.status() == 201, recorded));
		long waited = this.client.awaitReady(IN_FORCE_TIMEOUT);
		results.add(new DemoResult("ticket in force on all VMs", waited >= 0, "after " + waited + " ms"));
		for (String vmId : this.fleet.vmIds()) {
			FleetAnswer answer = this.client.send(this.client.chat(vmId, CALLER_KEY, MODEL, "summarise the term", 16));
			results.add(result("streamed summary through " + vmId, answer.isWholeStream(), answer));
		}
		FleetAnswer refused = this.client
			.send(this.client.chat(this.fleet.vmIds().get(0), "no-such-key", MODEL, "summarise the term", 16));
		results.add(result("unknown key", refused.status() == 401, refused));
		return results;
	}

	private static DemoResult result(String name, boolean asExpected, FleetAnswer answer) {
		return new DemoResult(name, asExpected,
				"status %d, verdict %s, %d bytes".formatted(answer.status(), answer.verdict(), answer.body().length()));
	}

}
