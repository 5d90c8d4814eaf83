package org.skylarkstack.bench;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

import org.skylarkstack.configuration.Team;
import org.skylarkstack.fleet.EnginePlan;
import org.skylarkstack.fleet.FleetClient;
import org.skylarkstack.fleet.FleetPlan;
import org.skylarkstack.fleet.FleetResponse;
import org.skylarkstack.fleet.LocalFleet;
import org.skylarkstack.fleet.ServicePlan;
import org.skylarkstack.standin.EngineStandIn;
import org.skylarkstack.standin.EngineWorkCounts;
import org.skylarkstack.standin.PlainServiceStandIn;
import org.skylarkstack.standin.RecordedRequest;

/**
 * Runs an experiment: measures the capacity, then runs every policy at every load with
 * the same arrivals and faults.
 */
public final class Experiment {

	private static final Duration READY_TIMEOUT = Duration.ofSeconds(30);

	/**
	 * Time limit for engines to free memory after the last response: the hold term of 10
	 * s, one round of the sweep and the lifetime of a prefill result.
	 */
	private static final Duration RELEASE_TIMEOUT = Duration.ofSeconds(20);

	/** Factor by which a noisy team exceeds its limit. */
	private static final double NOISY_TEAM_FACTOR = 5;

	/** Concurrent requests for each decode slot while the capacity is measured. */
	private static final double CALLERS_PER_SLOT = 1.2;

	private final BenchOptions options;

	private final BenchProfile profile;

	private final Consumer<String> progress;

	/**
	 * Creates an experiment.
	 * @param options the options
	 * @param progress receives progress messages
	 */
	public Experiment(BenchOptions options, Consumer<String> progress) {
		this.options = options;
		this.profile = BenchProfile.named(options.deployment());
		this.progress = progress;
	}

	/**
	 * Runs the experiment.
	 * @return the results
	 */
	public BenchResults run() {
		String capacityPolicy = this.options.policies().get(0);
		double capacity = measureCapacity(capacityPolicy);
		this.progress.accept("capacity: %.1f requests/s with policy %s".formatted(capacity, capacityPolicy));
		List<RunResult> runs = new ArrayList<>();
		for (double load : this.options.loads()) {
			for (int repeat = 1; repeat <= this.options.repeats(); repeat++) {
				for (String policy : this.options.policies()) {
					runs.add(runPolicy(policy, load, repeat, capacity));
				}
			}
		}
		DirectFigures direct = this.options.direct()
				? new DirectComparison(this.options.openStreams(), this.options.seed(), this.progress).run() : null;
		return new BenchResults(this.options.deployment(), this.options.seed(), this.options.seconds(), capacity,
				capacityPolicy, runs, direct);
	}

	private LocalFleet startFleet(FleetPlan plan) {
		LocalFleet fleet = LocalFleet.start(plan);
		FleetClient client = new FleetClient(fleet);
		FleetResponse submitted = client.submit(fleet.vmIds().get(0), fleet.firstTicket());
		if (submitted.status() != 201 || client.awaitReady(READY_TIMEOUT) < 0) {
			fleet.close();
			throw new IllegalStateException("fleet did not become ready: " + submitted.body());
		}
		return fleet;
	}

	private double measureCapacity(String policy) {
		List<Arrival> arrivals = new ArrivalPlan(this.profile, this.options.seed()).plan(2_000, 20, "", 1);
		try (LocalFleet fleet = startFleet(this.profile.unlimitedPlan(policy));
				LoadRunner runner = new LoadRunner(fleet, new PromptWriter("capacity"), this.options.seed(),
						this.progress)) {
			int callers = (int) (this.profile.decodeSlots() * CALLERS_PER_SLOT);
			long warmUpEndNanos = System.nanoTime() + (long) (this.options.seconds() / 4 * TimeUnit.SECONDS.toNanos(1));
			List<Outcome> finished = runner.runClosedLoop(arrivals, callers, this.options.seconds());
			long lastEndNanos = finished.stream().mapToLong(Outcome::endNanos).max().orElse(warmUpEndNanos + 1);
			long completed = finished.stream()
				.filter((outcome) -> outcome.isComplete() && outcome.endNanos() > warmUpEndNanos)
				.count();
			return Math.max(1, completed * 1e9 / Math.max(1, lastEndNanos - warmUpEndNanos));
		}
	}

	private RunResult runPolicy(String policy, double load, int repeat, double capacity) {
		long seed = this.options.seed() + repeat;
		double rate = load * capacity;
		this.progress.accept("policy %s, load %.2f (%.1f requests/s), repeat %d, seed %d".formatted(policy, load, rate,
				repeat, seed));
		List<Arrival> arrivals = new ArrivalPlan(this.profile, seed).plan(rate, this.options.seconds(),
				this.options.noisyTeam(), NOISY_TEAM_FACTOR * BenchProfile.LIMIT_HEADROOM / load);
		String runId = policy + "-" + load + "-" + repeat;
		try (LocalFleet fleet = startFleet(this.profile.plan(policy, capacity));
				LoadRunner runner = new LoadRunner(fleet, new PromptWriter(runId), seed, this.progress)) {
			List<Outcome> outcomes = runWithFaults(fleet, runner, arrivals);
			long held = awaitRelease(fleet);
			List<Team> teams = this.profile.teams()
				.stream()
				.map((team) -> this.profile.withLimits(team, capacity))
				.toList();
			RunFigures figures = new FigureCalculator(teams, outcomes, engineWorkCounts(fleet),
					FigureCalculator.effectsByTag(effects(fleet)), this.options.seconds())
				.figures(runner.gaps(), held, keysSeen(fleet));
			this.progress.accept("  goodput %.1f/s, wasted prefill %.2f %%, worst service %.2f, breaches %d".formatted(
					figures.goodput(), 100 * figures.wastedPrefill(), figures.worstService(),
					figures.breaches().total()));
			return new RunResult(policy, load, rate, repeat, seed, figures);
		}
	}

	private List<Outcome> runWithFaults(LocalFleet fleet, LoadRunner runner, List<Arrival> arrivals) {
		ScheduledExecutorService schedule = Executors.newSingleThreadScheduledExecutor();
		try {
			List<Future<?>> steps = new ArrayList<>();
			for (FaultStep step : this.options.faults()) {
				steps.add(schedule.schedule(() -> {
					this.progress.accept("  fault %s %s".formatted(step.kind(), step.target()));
					step.kind().apply(fleet, step.target());
				}, (long) (step.atSeconds() * 1_000), TimeUnit.MILLISECONDS));
			}
			List<Outcome> outcomes = runner.runOpenLoop(arrivals);
			for (Future<?> step : steps) {
				requireApplied(step);
			}
			return outcomes;
		}
		finally {
			schedule.shutdownNow();
		}
	}

	private static void requireApplied(Future<?> step) {
		try {
			step.get(1, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException ex) {
			throw new IllegalStateException("a step of the fault schedule failed", ex);
		}
	}

	private List<EngineStandIn> engines(LocalFleet fleet) {
		return this.profile.engines().stream().map(EnginePlan::id).map(fleet::engine).toList();
	}

	private List<PlainServiceStandIn> services(LocalFleet fleet) {
		return this.profile.services()
			.stream()
			.map(ServicePlan::id)
			.flatMap((id) -> fleet.servers(id).stream())
			.toList();
	}

	private long awaitRelease(LocalFleet fleet) {
		long deadline = System.nanoTime() + RELEASE_TIMEOUT.toNanos();
		long held = heldRequests(fleet);
		while (held > 0 && System.nanoTime() < deadline) {
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(50));
			held = heldRequests(fleet);
		}
		return held;
	}

	private long heldRequests(LocalFleet fleet) {
		return engines(fleet).stream().mapToLong((engine) -> engine.held().size()).sum();
	}

	private Map<String, EngineWorkCounts> engineWorkCounts(LocalFleet fleet) {
		Map<String, EngineWorkCounts> workCounts = new HashMap<>();
		engines(fleet).forEach((engine) -> engine.workCountsByUser()
			.forEach((tag, counts) -> workCounts.merge(tag, counts, EngineWorkCounts::plus)));
		return workCounts;
	}

	private List<RecordedRequest> effects(LocalFleet fleet) {
		return services(fleet).stream().flatMap((service) -> service.effects().stream()).toList();
	}

	private long keysSeen(LocalFleet fleet) {
		long atServices = services(fleet).stream()
			.flatMap((service) -> service.requests().stream())
			.filter(this::containsCallerKey)
			.count();
		return atServices + engines(fleet).stream().mapToLong(EngineStandIn::authorizationsSeen).sum();
	}

	private boolean containsCallerKey(RecordedRequest request) {
		return this.profile.teams().stream().anyMatch((team) -> request.contains(team.key()));
	}

}
