package org.skylarkstack.bench;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.node.ObjectNode;
import okhttp3.ConnectionPool;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.skylarkstack.fleet.LocalFleet;
import org.skylarkstack.standin.EngineStandIn;

/**
 * Sends planned requests to a fleet and records their outcomes.
 */
final class LoadRunner implements AutoCloseable {

	static final long MAX_TRACKABLE_NANOS = TimeUnit.MINUTES.toNanos(5);

	private static final MediaType JSON = Objects.requireNonNull(MediaType.parse("application/json"));

	private static final long PROGRESS_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(2);

	private static final Duration READ_TIMEOUT = Duration.ofSeconds(60);

	private final OkHttpClient client = new OkHttpClient.Builder().retryOnConnectionFailure(false)
		.connectionPool(new ConnectionPool(512, 30, TimeUnit.SECONDS))
		.readTimeout(READ_TIMEOUT)
		.build();

	private final ExecutorService callers = Executors.newCachedThreadPool((task) -> {
		Thread thread = new Thread(task, "bench-caller");
		thread.setDaemon(true);
		return thread;
	});

	private final Histogram gaps = new ConcurrentHistogram(MAX_TRACKABLE_NANOS, 3);

	private final ConcurrentLinkedQueue<Outcome> outcomes = new ConcurrentLinkedQueue<>();

	private final AtomicInteger inFlight = new AtomicInteger();

	private final LocalFleet fleet;

	private final PromptWriter prompts;

	private final Random vmChoice;

	private final Consumer<String> progress;

	LoadRunner(LocalFleet fleet, PromptWriter prompts, long seed, Consumer<String> progress) {
		this.fleet = fleet;
		this.prompts = prompts;
		this.vmChoice = new Random(seed);
		this.progress = progress;
	}

	/**
	 * Sends requests at their planned times, whether or not earlier ones have ended.
	 * @param arrivals the requests
	 * @return the outcomes
	 */
	List<Outcome> runOpenLoop(List<Arrival> arrivals) {
		long startNanos = System.nanoTime();
		long nextProgressNanos = startNanos + PROGRESS_PERIOD_NANOS;
		for (Arrival arrival : arrivals) {
			long sendNanos = startNanos + arrival.offsetNanos();
			while (System.nanoTime() < sendNanos) {
				LockSupport.parkNanos(sendNanos - System.nanoTime());
			}
			submit(arrival, sendNanos);
			if (sendNanos > nextProgressNanos) {
				nextProgressNanos += PROGRESS_PERIOD_NANOS;
				reportProgress(arrivals.size());
			}
		}
		awaitCompletion();
		reportProgress(arrivals.size());
		return List.copyOf(this.outcomes);
	}

	/**
	 * Keeps a number of requests in flight for a given time.
	 * @param arrivals the requests; their planned times are ignored
	 * @param callers the number of requests in flight
	 * @param seconds the duration in seconds
	 * @return the outcomes of the requests that ended within that time
	 */
	List<Outcome> runClosedLoop(List<Arrival> arrivals, int callers, double seconds) {
		long stopNanos = System.nanoTime() + (long) (seconds * TimeUnit.SECONDS.toNanos(1));
		for (Arrival arrival : arrivals) {
			while (this.inFlight.get() >= callers) {
				LockSupport.parkNanos(TimeUnit.MICROSECONDS.toNanos(200));
			}
			if (System.nanoTime() >= stopNanos) {
				break;
			}
			submit(arrival, System.nanoTime());
		}
		List<Outcome> finished = List.copyOf(this.outcomes);
		awaitCompletion();
		return finished;
	}

	private void reportProgress(int planned) {
		List<Outcome> finished = new ArrayList<>(this.outcomes);
		this.progress.accept("  %d of %d finished, %d complete, %d within targets, %d in flight".formatted(
				finished.size(), planned, finished.stream().filter(Outcome::isComplete).count(),
				finished.stream().filter(Outcome::meetsTargets).count(), this.inFlight.get()));
	}

	private void awaitCompletion() {
		long deadline = System.nanoTime() + READ_TIMEOUT.toNanos();
		while (this.inFlight.get() > 0 && System.nanoTime() < deadline) {
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
		}
	}

	private void submit(Arrival arrival, long sendNanos) {
		List<String> vms = this.fleet.vmIds();
		String vmId = vms.get(this.vmChoice.nextInt(vms.size()));
		this.inFlight.incrementAndGet();
		this.callers.execute(() -> {
			try {
				this.outcomes.add(execute(arrival, vmId, sendNanos));
			}
			finally {
				this.inFlight.decrementAndGet();
			}
		});
	}

	private Outcome execute(Arrival arrival, String vmId, long sendNanos) {
		String tag = this.prompts.tag(arrival);
		StreamTiming timing = new StreamTiming(this.gaps);
		int status = 0;
		String verdict = "";
		String error = "";
		String expected = "";
		try {
			Request request = request(arrival, vmId);
			if (arrival.kind().target() == RequestTarget.COMPLETION) {
				expected = EngineStandIn.outputText(this.prompts.completionBody(arrival));
			}
			try (Response response = this.client.newCall(request).execute()) {
				status = response.code();
				verdict = Objects.requireNonNullElse(response.header("X-Skylark-Verdict"), "");
				if (status != 200 || arrival.kind().target() != RequestTarget.COMPLETION) {
					String body = response.body().string();
					error = (status / 100 == 2) ? "" : StreamTiming.errorName(body);
				}
				else {
					timing.read(response.body().source());
					error = timing.error();
				}
			}
		}
		catch (IOException | IllegalArgumentException ex) {
			error = ex.getClass().getSimpleName();
		}
		long endNanos = System.nanoTime();
		long firstTokenNanos = (arrival.kind().target() == RequestTarget.COMPLETION) ? timing.firstTokenNanos()
				: endNanos;
		return new Outcome(arrival, tag, vmId, sendNanos, firstTokenNanos, endNanos, status, verdict, error,
				timing.tokens(), timing.lateGaps(), timing.endMarkerReceived(), timing.text().equals(expected),
				timing.dataAfterEnd());
	}

	private Request request(Arrival arrival, String vmId) {
		RequestKind kind = arrival.kind();
		Request.Builder request = new Request.Builder().header("Authorization", "Bearer " + arrival.team().key());
		String base = this.fleet.callerUrl(vmId);
		return switch (kind.target()) {
			case COMPLETION -> {
				ObjectNode body = this.prompts.completionBody(arrival);
				yield request.url(base + "/v1/chat/completions")
					.post(RequestBody.create(body.toString(), JSON))
					.build();
			}
			case ENTRY -> request.url(base + kind.model())
				.header("Idempotency-Key", this.prompts.tag(arrival))
				.post(RequestBody.create(this.prompts.entryBody(arrival), JSON))
				.build();
			case STATUS -> request.url(base + kind.model()).build();
		};
	}

	Histogram gaps() {
		return this.gaps;
	}

	@Override
	public void close() {
		this.callers.shutdownNow();
		this.client.dispatcher().executorService().shutdown();
		this.client.connectionPool().evictAll();
	}

}
