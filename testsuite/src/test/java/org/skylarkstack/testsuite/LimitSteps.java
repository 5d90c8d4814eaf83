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
 * Steps about fleet-wide limits. Waits end as soon as their condition holds; their
 * time-outs only keep a failed scenario from hanging.
 */
public class LimitSteps {

	private static final String MODEL = ScenarioFleet.MODEL;

	private static final String KEY = "key-of-limited";

	private static final int OUTPUT_TOKENS = 50;

	private static final int CALLERS = 9;

	private static final double NANOS_PER_SECOND = 1e9;

	private static final long WINDOW_NANOS = 4_000_000_000L;

	private static final Duration MAX_WAIT = Duration.ofSeconds(60);

	private static final long POLL_MILLIS = 10;

	private final AtomicLong receivedTokens = new AtomicLong();

	private final AtomicLong rejectedRequests = new AtomicLong();

	private final ExecutorService callers = Executors.newFixedThreadPool(CALLERS);

	private final List<FleetResponse> rejections = new ArrayList<>();

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
		this.callers.awaitTermination(MAX_WAIT.toSeconds(), TimeUnit.SECONDS);
		this.scenario.close();
	}

	private void startCallers(int vms) {
		for (int caller = 0; caller < CALLERS; caller++) {
			String vmId = "vm-" + caller % vms;
			this.callers.execute(() -> sendUntilStopped(vmId));
		}
	}

	private void sendUntilStopped(String vmId) {
		FleetClient client = client();
		while (!this.stopped) {
			FleetResponse response = client.send(client.chat(vmId, KEY, MODEL, "summarise", OUTPUT_TOKENS));
			if (response.isCompleteStream()) {
				this.receivedTokens.addAndGet(OUTPUT_TOKENS);
			}
			else {
				this.rejectedRequests.incrementAndGet();
				synchronized (this.rejections) {
					this.rejections.add(response);
				}
				pause();
			}
		}
	}

	private static void pause() {
		try {
			Thread.sleep(POLL_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	@When("the team asks every VM without pause until {int} requests were answered and {int} refused")
	public void sendThroughEveryVm(int expectedResponses, int expectedRejections) throws InterruptedException {
		startCallers(fleet().vmIds().size());
		long deadline = System.nanoTime() + MAX_WAIT.toNanos();
		long expectedTokens = (long) expectedResponses * OUTPUT_TOKENS;
		while ((this.rejectedRequests.get() < expectedRejections || this.receivedTokens.get() < expectedTokens)
				&& System.nanoTime() < deadline) {
			pause();
		}
		this.stopped = true;
		this.callers.shutdown();
		assertThat(this.callers.awaitTermination(MAX_WAIT.toSeconds(), TimeUnit.SECONDS)).isTrue();
		assertThat(this.rejectedRequests.get()).isAtLeast((long) expectedRejections);
		assertThat(this.receivedTokens.get()).isAtLeast(expectedTokens);
	}

	@Then("the team received at most its rate and burst")
	public void receivedAtMostItsRate() {
		double seconds = (System.nanoTime() - this.startNanos) / NANOS_PER_SECOND;
		assertThat(this.receivedTokens.get()).isGreaterThan(0L);
		assertThat((double) this.receivedTokens.get())
			.isAtMost(team().tokensPerSecond() * seconds + team().burstTokens());
	}

	@Then("each refusal is a rate limit and states that nothing ran")
	public void rejectionsAreRateLimits() {
		for (FleetResponse rejection : this.rejections) {
			assertThat(rejection.status()).isEqualTo(429);
			assertThat(rejection.verdict()).isEqualTo("not-run");
		}
	}

	@When("the team asks one VM without pause")
	public void sendThroughOneVm() {
		startCallers(1);
	}

	@Then("the team comes to receive {int} percent of its rate")
	public void receivesShareOfRate(int percent) {
		long deadline = System.nanoTime() + MAX_WAIT.toNanos();
		double highestShare = 0;
		while (this.rejectedRequests.get() == 0 && System.nanoTime() < deadline) {
			pause();
		}
		while (highestShare < percent / 100.0 && System.nanoTime() < deadline) {
			long from = System.nanoTime();
			long receivedBefore = this.receivedTokens.get();
			while (System.nanoTime() - from < WINDOW_NANOS) {
				pause();
			}
			double seconds = (System.nanoTime() - from) / NANOS_PER_SECOND;
			highestShare = Math.max(highestShare,
					(this.receivedTokens.get() - receivedBefore) / seconds / team().tokensPerSecond());
		}
		assertWithMessage(
				"highest share of the rate received through one VM; rejections by error: " + rejectionsByError())
			.that(highestShare)
			.isAtLeast(percent / 100.0);
	}

	private Map<String, Long> rejectionsByError() {
		synchronized (this.rejections) {
			return this.rejections.stream()
				.collect(Collectors.groupingBy(
						(rejection) -> rejection.body().replaceAll(".*\"name\":\"([A-Z_]+)\".*", "$1"),
						Collectors.counting()));
		}
	}

	@When("the team asks one VM for {int} tokens at once")
	public void sendAboveBurst(int tokens) {
		this.rejections.add(client().send(client().chat("vm-0", KEY, MODEL, "summarise", tokens)));
	}

	@Then("the refusal names the burst of {int} tokens")
	public void rejectionNamesTheBurst(int burst) {
		FleetResponse rejection = this.rejections.get(0);
		assertThat(rejection.status()).isEqualTo(400);
		assertThat(rejection.body()).contains("burst of team limited is %d tokens".formatted(burst));
	}

}
