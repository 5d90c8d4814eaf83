package org.skylarkstack.testsuite;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import org.jspecify.annotations.Nullable;
import org.skylarkstack.configuration.EngineRole;
import org.skylarkstack.configuration.Team;
import org.skylarkstack.fleet.EnginePlan;
import org.skylarkstack.fleet.FleetClient;
import org.skylarkstack.fleet.FleetPlan;
import org.skylarkstack.fleet.FleetResponse;
import org.skylarkstack.fleet.LocalFleet;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Steps about fleet-wide limits. Waits end when what is awaited happens; their bounds
 * only guard against hanging.
 */
public class LimitSteps {

	private static final String MODEL = ScenarioFleet.MODEL;

	private static final String KEY = "key-of-limited";

	private static final int OUTPUT_TOKENS = 50;

	private static final int CALLERS = 9;

	private static final double NANOS_PER_SECOND = 1e9;

	private static final long WINDOW_NANOS = 4_000_000_000L;

	private static final Duration LONGEST_WAIT = Duration.ofSeconds(60);

	private static final long PAUSE_MILLIS = 10;

	private final AtomicLong received = new AtomicLong();

	private final AtomicLong refused = new AtomicLong();

	private final ExecutorService callers = Executors.newFixedThreadPool(CALLERS);

	private final List<FleetResponse> refusals = new ArrayList<>();

	private final ScenarioFleet scenario = new ScenarioFleet();

	private @Nullable Team team;

	private long startNanos;

	private volatile boolean stopped;

	@Given("a limited team with {int} tokens a second and a burst of {int} on {int} VMs")
	public void startFleet(int rate, int burst, int vms) {
		List<EnginePlan> engines = List.of(
				new EnginePlan("prefill", "dc-0", MODEL, EngineRole.PREFILL, 40, 64, 20_000, 2),
				new EnginePlan("decode", "dc-0", MODEL, EngineRole.DECODE, 40, 640, 20_000, 2));
		Team limited = new Team("limited", rate, burst, 1, null);
		this.team = limited;
		this.startNanos = System.nanoTime();
		this.scenario.start(new FleetPlan(ScenarioFleet.vms(vms, vms), engines, List.of(limited),
				Map.of(KEY, "limited"), "fair-queue"));
	}

	private LocalFleet fleet() {
		return this.scenario.fleet();
	}

	private FleetClient client() {
		return this.scenario.client();
	}

	private Team team() {
		return Objects.requireNonNull(this.team);
	}

	/** Stops the callers and the fleet. */
	@After
	public void stopFleet() throws InterruptedException {
		this.stopped = true;
		this.callers.shutdown();
		this.callers.awaitTermination(LONGEST_WAIT.toSeconds(), TimeUnit.SECONDS);
		this.scenario.close();
	}

	private void startCallers(int vms) {
		for (int caller = 0; caller < CALLERS; caller++) {
			String vmId = "vm-" + caller % vms;
			this.callers.execute(() -> call(vmId));
		}
	}

	private void call(String vmId) {
		FleetClient client = client();
		while (!this.stopped) {
			FleetResponse answer = client.send(client.chat(vmId, KEY, MODEL, "summarise", OUTPUT_TOKENS));
			if (answer.isCompleteStream()) {
				this.received.addAndGet(OUTPUT_TOKENS);
			}
			else {
				this.refused.incrementAndGet();
				synchronized (this.refusals) {
					this.refusals.add(answer);
				}
				pause();
			}
		}
	}

	private static void pause() {
		try {
			Thread.sleep(PAUSE_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@When("the team asks every VM without pause until {int} requests were answered and {int} refused")
	public void askEveryVm(int answeredRequests, int refusedRequests) throws InterruptedException {
		startCallers(fleet().vmIds().size());
		long deadline = System.nanoTime() + LONGEST_WAIT.toNanos();
		long answeredTokens = (long) answeredRequests * OUTPUT_TOKENS;
		while ((this.refused.get() < refusedRequests || this.received.get() < answeredTokens)
				&& System.nanoTime() < deadline) {
			pause();
		}
		this.stopped = true;
		this.callers.shutdown();
		assertThat(this.callers.awaitTermination(LONGEST_WAIT.toSeconds(), TimeUnit.SECONDS)).isTrue();
		assertThat(this.refused.get()).isAtLeast((long) refusedRequests);
		assertThat(this.received.get()).isAtLeast(answeredTokens);
	}

	@Then("the team received at most its rate and burst")
	public void receivedAtMostItsRate() {
		double seconds = (System.nanoTime() - this.startNanos) / NANOS_PER_SECOND;
		assertThat(this.received.get()).isGreaterThan(0L);
		assertThat((double) this.received.get()).isAtMost(team().tokensPerSecond() * seconds + team().burstTokens());
	}

	@Then("each refusal is a rate limit and states that nothing ran")
	public void refusalsAreRateLimits() {
		for (FleetResponse refusal : this.refusals) {
			assertThat(refusal.status()).isEqualTo(429);
			assertThat(refusal.verdict()).isEqualTo("not-run");
		}
	}

	@When("the team asks one VM without pause")
	public void askOneVm() {
		startCallers(1);
	}

	@Then("the team comes to receive {int} percent of its rate")
	public void comesToReceive(int percent) {
		long deadline = System.nanoTime() + LONGEST_WAIT.toNanos();
		double best = 0;
		while (this.refused.get() == 0 && System.nanoTime() < deadline) {
			pause();
		}
		while (best < percent / 100.0 && System.nanoTime() < deadline) {
			long from = System.nanoTime();
			long before = this.received.get();
			while (System.nanoTime() - from < WINDOW_NANOS) {
				pause();
			}
			double seconds = (System.nanoTime() - from) / NANOS_PER_SECOND;
			best = Math.max(best, (this.received.get() - before) / seconds / team().tokensPerSecond());
		}
		assertWithMessage("share of the rate received through one VM; refusals: " + refusalCounts()).that(best)
			.isAtLeast(percent / 100.0);
	}

	private Map<String, Long> refusalCounts() {
		synchronized (this.refusals) {
			return this.refusals.stream()
				.collect(Collectors.groupingBy(
						(refusal) -> refusal.body().replaceAll(".*\"name\":\"([A-Z_]+)\".*", "$1"),
						Collectors.counting()));
		}
	}

	@When("the team asks one VM for {int} tokens at once")
	public void askForManyTokens(int tokens) {
		this.refusals.add(client().send(client().chat("vm-0", KEY, MODEL, "summarise", tokens)));
	}

	@Then("the refusal names the burst of {int} tokens")
	public void refusalNamesTheBurst(int burst) {
		FleetResponse refusal = this.refusals.get(0);
		assertThat(refusal.status()).isEqualTo(400);
		assertThat(refusal.body()).contains("burst of team limited is %d tokens".formatted(burst));
	}

}
