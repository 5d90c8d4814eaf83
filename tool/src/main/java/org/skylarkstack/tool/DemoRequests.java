package org.skylarkstack.tool;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

import okhttp3.Request;
import org.skylarkstack.configuration.EngineRole;
import org.skylarkstack.configuration.ObjectKind;
import org.skylarkstack.configuration.Route;
import org.skylarkstack.configuration.Team;
import org.skylarkstack.configuration.Ticket;
import org.skylarkstack.configuration.TicketChange;
import org.skylarkstack.fleet.EnginePlan;
import org.skylarkstack.fleet.FleetClient;
import org.skylarkstack.fleet.FleetPlan;
import org.skylarkstack.fleet.FleetResponse;
import org.skylarkstack.fleet.LocalFleet;
import org.skylarkstack.fleet.ServicePlan;
import org.skylarkstack.fleet.VmPlan;

/**
 * Sends the requests of the demo to a local fleet and collects their results.
 */
final class DemoRequests {

	static final String CALLER_KEY = "demo-caller-key";

	static final String MODEL = "summary-model";

	private static final String SMALL_TEAM_KEY = "demo-small-team-key";

	private static final String WITHDRAWN_KEY = "demo-withdrawn-key";

	private static final String PROMPT = "summarise the term";

	private static final int SUMMARY_TOKENS = 16;

	private static final int LONG_TOKENS = 200;

	private static final int ENGINE_RESTART_MILLIS = 10_000;

	private static final int MAX_ATTEMPTS = 50;

	private static final long RETRY_DELAY_MILLIS = 200;

	private static final Duration READY_TIMEOUT = Duration.ofSeconds(10);

	private final List<DemoResult> results = new ArrayList<>();

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
		List<Team> teams = List.of(new Team("registers", 10_000, 60_000, 1, null), new Team("small", 20, 100, 1, null));
		Map<String, String> keys = Map.of(CALLER_KEY, "registers", WITHDRAWN_KEY, "registers", SMALL_TEAM_KEY, "small");
		List<Route> routes = List.of(new Route("visits", "/bookings", Set.of("POST"), "pumps", false, true),
				new Route("status", "/status", Set.of("GET"), "pumps", true, false));
		return new FleetPlan(vms, engines, teams, keys, List.of(new ServicePlan("pumps", List.of("dc-a", "dc-b"))),
				routes, "fair-queue");
	}

	List<DemoResult> run() {
		FleetResponse submitted = this.client.submit(vmId(0), this.fleet.firstTicket());
		addResult("change ticket 1", submitted.status() == 201, submitted);
		long waitedMillis = this.client.awaitReady(READY_TIMEOUT);
		this.results
			.add(new DemoResult("ticket in force on all VMs", waitedMillis >= 0, "after " + waitedMillis + " ms"));
		for (String vmId : this.fleet.vmIds()) {
			FleetResponse response = this.client.sendWithRateLimitRetries(chat(vmId, CALLER_KEY, SUMMARY_TOKENS));
			addResult("streamed summary through " + vmId, response.isCompleteStream(), response);
		}
		sendServiceRequests();
		FleetResponse unknown = this.client.send(chat(vmId(0), "no-such-key", SUMMARY_TOKENS));
		addResult("unknown key", unknown.status() == 401, unknown);
		sendWithWithdrawnKey();
		sendOverRateLimit();
		cancelRequest();
		crashEngineDuringStream();
		return this.results;
	}

	private String vmId(int index) {
		return this.fleet.vmIds().get(index);
	}

	private Request chat(String vmId, String key, int tokens) {
		return this.client.chat(vmId, key, MODEL, PROMPT, tokens);
	}

	private static void pause() {
		try {
			Thread.sleep(RETRY_DELAY_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void sendServiceRequests() {
		Request booking = this.client.service(vmId(1), CALLER_KEY, "/bookings", "{\"pump\":7}", "visit-7");
		FleetResponse first = this.client.send(booking);
		addResult("booking of a visit", first.status() < 300, first);
		FleetResponse repeated = this.client
			.send(this.client.service(vmId(2), CALLER_KEY, "/bookings", "{\"pump\":7}", "visit-7"));
		long effects = this.fleet.servers("pumps").stream().mapToLong((service) -> service.effects().size()).sum();
		addResult("same booking through another VM", repeated.body().equals(first.body()) && effects == 1, repeated);
		FleetResponse status = this.client.send(this.client.service(vmId(0), null, "/status/7", null, null));
		addResult("status read on an open route", status.status() == 200, status);
	}

	private void sendWithWithdrawnKey() {
		Ticket ticket = new Ticket(2, "demo",
				List.of(TicketChange.delete(ObjectKind.KEY, LocalFleet.keyId(WITHDRAWN_KEY))));
		FleetResponse submitted = this.client.submit(vmId(1), ticket);
		addResult("change ticket 2 withdraws a key", submitted.status() == 201, submitted);
		FleetResponse response = this.client.send(chat(vmId(2), WITHDRAWN_KEY, 1));
		for (int attempts = 1; !response.verdict().equals("not-run") && attempts < MAX_ATTEMPTS; attempts++) {
			pause();
			response = this.client.send(chat(vmId(2), WITHDRAWN_KEY, 1));
		}
		addResult("request with the withdrawn key", response.status() == 401 && response.verdict().equals("not-run"),
				response);
	}

	private void sendOverRateLimit() {
		FleetResponse response = this.client.send(chat(vmId(0), SMALL_TEAM_KEY, SUMMARY_TOKENS));
		for (int attempts = 1; response.status() != 429 && attempts < MAX_ATTEMPTS; attempts++) {
			response = this.client.send(chat(vmId(attempts % 3), SMALL_TEAM_KEY, SUMMARY_TOKENS));
		}
		addResult("request over its team's rate", response.status() == 429, response);
	}

	private void cancelRequest() {
		FleetResponse response = this.client.sendAndCancel(chat(vmId(0), CALLER_KEY, LONG_TOKENS));
		boolean released = false;
		for (int attempts = 0; !released && attempts < MAX_ATTEMPTS; attempts++) {
			pause();
			released = this.fleet.plan()
				.engines()
				.stream()
				.allMatch((plan) -> this.fleet.engine(plan.id()).held().isEmpty());
		}
		addResult("cancelled summary, engines hold nothing", released && response.status() == 200, response);
	}

	private void crashEngineDuringStream() {
		FleetResponse response = this.client.sendAndThen(chat(vmId(0), CALLER_KEY, LONG_TOKENS),
				this::crashBusyDecodeEngine);
		addResult("summary whose engine dies midway", response.isCompleteStream(), response);
	}

	private void crashBusyDecodeEngine() {
		Stream.of("decode-1", "decode-2")
			.map(this.fleet::engine)
			.filter((engine) -> !engine.held().isEmpty())
			.forEach((engine) -> engine.crash(ENGINE_RESTART_MILLIS));
	}

	private void addResult(String name, boolean asExpected, FleetResponse response) {
		this.results.add(new DemoResult(name, asExpected, "status %d, verdict %s, %d bytes".formatted(response.status(),
				response.verdict(), response.body().length())));
	}

}
