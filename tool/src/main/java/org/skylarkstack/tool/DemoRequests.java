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
 * Requests of the demo.
 */
final class DemoRequests {

	static final String CALLER_KEY = "demo-caller-key";

	static final String MODEL = "summary-model";

	private static final String SMALL_KEY = "demo-small-team-key";

	private static final String WITHDRAWN_KEY = "demo-withdrawn-key";

	private static final String PROMPT = "summarise the term";

	private static final int SUMMARY_TOKENS = 16;

	private static final int LONG_TOKENS = 200;

	private static final int RESTART_MILLIS = 10_000;

	private static final int MAX_TRIES = 50;

	private static final long RETRY_MILLIS = 200;

	private static final Duration IN_FORCE_TIMEOUT = Duration.ofSeconds(10);

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
		Map<String, String> keys = Map.of(CALLER_KEY, "registers", WITHDRAWN_KEY, "registers", SMALL_KEY, "small");
		List<Route> routes = List.of(new Route("visits", "/bookings", Set.of("POST"), "pumps", false, true),
				new Route("status", "/status", Set.of("GET"), "pumps", true, false));
		return new FleetPlan(vms, engines, teams, keys, List.of(new ServicePlan("pumps", List.of("dc-a", "dc-b"))),
				routes, "fair-queue");
	}

	List<DemoResult> run() {
		FleetResponse recorded = this.client.submit(vm(0), this.fleet.firstTicket());
		add("change ticket 1", recorded.status() == 201, recorded);
		long waited = this.client.awaitReady(IN_FORCE_TIMEOUT);
		this.results.add(new DemoResult("ticket in force on all VMs", waited >= 0, "after " + waited + " ms"));
		for (String vmId : this.fleet.vmIds()) {
			FleetResponse answer = this.client.sendWithRateLimitRetries(chat(vmId, CALLER_KEY, SUMMARY_TOKENS));
			add("streamed summary through " + vmId, answer.isCompleteStream(), answer);
		}
		plainServices();
		FleetResponse unknown = this.client.send(chat(vm(0), "no-such-key", SUMMARY_TOKENS));
		add("unknown key", unknown.status() == 401, unknown);
		withdrawnKey();
		overRate();
		cancelled();
		engineDies();
		return this.results;
	}

	private String vm(int index) {
		return this.fleet.vmIds().get(index);
	}

	private Request chat(String vmId, String key, int tokens) {
		return this.client.chat(vmId, key, MODEL, PROMPT, tokens);
	}

	private static void pause() {
		try {
			Thread.sleep(RETRY_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void plainServices() {
		Request booking = this.client.service(vm(1), CALLER_KEY, "/bookings", "{\"pump\":7}", "visit-7");
		FleetResponse first = this.client.send(booking);
		add("booking of a visit", first.status() < 300, first);
		FleetResponse again = this.client
			.send(this.client.service(vm(2), CALLER_KEY, "/bookings", "{\"pump\":7}", "visit-7"));
		long effects = this.fleet.servers("pumps").stream().mapToLong((service) -> service.effects().size()).sum();
		add("same booking through another VM", again.body().equals(first.body()) && effects == 1, again);
		FleetResponse status = this.client.send(this.client.service(vm(0), null, "/status/7", null, null));
		add("status read on an open route", status.status() == 200, status);
	}

	private void withdrawnKey() {
		Ticket ticket = new Ticket(2, "demo",
				List.of(TicketChange.delete(ObjectKind.KEY, LocalFleet.keyId(WITHDRAWN_KEY))));
		FleetResponse recorded = this.client.submit(vm(1), ticket);
		add("change ticket 2 withdraws a key", recorded.status() == 201, recorded);
		FleetResponse answer = this.client.send(chat(vm(2), WITHDRAWN_KEY, 1));
		for (int tries = 1; !answer.verdict().equals("not-run") && tries < MAX_TRIES; tries++) {
			pause();
			answer = this.client.send(chat(vm(2), WITHDRAWN_KEY, 1));
		}
		add("request with the withdrawn key", answer.status() == 401 && answer.verdict().equals("not-run"), answer);
	}

	private void overRate() {
		FleetResponse answer = this.client.send(chat(vm(0), SMALL_KEY, SUMMARY_TOKENS));
		for (int tries = 1; answer.status() != 429 && tries < MAX_TRIES; tries++) {
			answer = this.client.send(chat(vm(tries % 3), SMALL_KEY, SUMMARY_TOKENS));
		}
		add("request over its team's rate", answer.status() == 429, answer);
	}

	private void cancelled() {
		FleetResponse answer = this.client.sendAndCancel(chat(vm(0), CALLER_KEY, LONG_TOKENS));
		boolean freed = false;
		for (int tries = 0; !freed && tries < MAX_TRIES; tries++) {
			pause();
			freed = this.fleet.plan()
				.engines()
				.stream()
				.allMatch((plan) -> this.fleet.engine(plan.id()).held().isEmpty());
		}
		add("cancelled summary, engines hold nothing", freed && answer.status() == 200, answer);
	}

	private void engineDies() {
		FleetResponse answer = this.client.sendAndThen(chat(vm(0), CALLER_KEY, LONG_TOKENS),
				this::crashBusyDecodeEngine);
		add("summary whose engine dies midway", answer.isCompleteStream(), answer);
	}

	private void crashBusyDecodeEngine() {
		Stream.of("decode-1", "decode-2")
			.map(this.fleet::engine)
			.filter((engine) -> !engine.held().isEmpty())
			.forEach((engine) -> engine.crash(RESTART_MILLIS));
	}

	private void add(String name, boolean asExpected, FleetResponse answer) {
		this.results.add(new DemoResult(name, asExpected, "status %d, verdict %s, %d bytes".formatted(answer.status(),
				answer.verdict(), answer.body().length())));
	}

}
