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
 * Sends planned requests to a fleet and notes what became of each.
 */
final class LoadRunner implements AutoCloseable {

	static final long HIGHEST_NANOS = TimeUnit.MINUTES.toNanos(5);

	private static final MediaType JSON = Objects.requireNonNull(MediaType.parse("application/json"));

	private static final long PROGRESS_NANOS = TimeUnit.SECONDS.toNanos(2);

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

	private final Histogram gaps = new ConcurrentHistogram(HIGHEST_NANOS, 3);

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
	 * Sends requests at their planned times, whatever becomes of earlier ones.
	 * @param arrivals the requests
	 * @return the outcomes
	 */
	List<Outcome> openLoop(List<Arrival> arrivals) {
		long start = System.nanoTime();
		long nextProgress = start + PROGRESS_NANOS;
		for (Arrival arrival : arrivals) {
			long at = start + arrival.atNanos();
			while (System.nanoTime() < at) {
				LockSupport.parkNanos(at - System.nanoTime());
			}
			submit(arrival, at);
			if (at > nextProgress) {
				nextProgress += PROGRESS_NANOS;
				report(arrivals.size());
			}
		}
		awaitEnd();
		report(arrivals.size());
		return List.copyOf(this.outcomes);
	}

	/**
	 * Keeps a number of requests under way for a time.
	 * @param arrivals the requests, whose planned times are ignored
	 * @param callers the number of callers
	 * @param seconds the time
	 * @return the outcomes
	 */
	List<Outcome> closedLoop(List<Arrival> arrivals, int callers, double seconds) {
		long end = System.nanoTime() + (long) (seconds * TimeUnit.SECONDS.toNanos(1));
		for (Arrival arrival : arrivals) {
			while (this.inFlight.get() >= callers) {
				LockSupport.parkNanos(TimeUnit.MICROSECONDS.toNanos(200));
			}
			if (System.nanoTime() >= end) {
				break;
			}
			submit(arrival, System.nanoTime());
		}
		List<Outcome> ended = List.copyOf(this.outcomes);
		awaitEnd();
		return ended;
	}

	private void report(int planned) {
		List<Outcome> ended = new ArrayList<>(this.outcomes);
		this.progress.accept("  %d of %d ended, %d whole, %d met their targets, %d under way".formatted(ended.size(),
				planned, ended.stream().filter(Outcome::whole).count(), ended.stream().filter(Outcome::good).count(),
				this.inFlight.get()));
	}

	private void awaitEnd() {
		long deadline = System.nanoTime() + READ_TIMEOUT.toNanos();
		while (this.inFlight.get() > 0 && System.nanoTime() < deadline) {
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(5));
		}
	}

	private void submit(Arrival arrival, long at) {
		List<String> vms = this.fleet.vmIds();
		String vmId = vms.get(this.vmChoice.nextInt(vms.size()));
		this.inFlight.incrementAndGet();
		this.callers.execute(() -> {
			try {
				this.outcomes.add(run(arrival, vmId, at));
			}
			finally {
				this.inFlight.decrementAndGet();
			}
		});
	}

	private Outcome run(Arrival arrival, String vmId, long at) {
		String tag = this.prompts.tag(arrival);
		StreamTiming timing = new StreamTiming(this.gaps);
		int status = 0;
		String verdict = "";
		String error = "";
		String expected = "";
		try {
			Request request = request(arrival, vmId);
			if (arrival.kind().target() == RequestTarget.COMPLETION) {
				expected = EngineStandIn.outputText(this.prompts.completion(arrival));
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
		long end = System.nanoTime();
		long first = (arrival.kind().target() == RequestTarget.COMPLETION) ? timing.firstTokenNanos() : end;
		return new Outcome(arrival, tag, vmId, at, first, end, status, verdict, error, timing.tokens(),
				timing.lateGaps(), timing.ended(), timing.text().equals(expected), timing.surplus());
	}

	private Request request(Arrival arrival, String vmId) {
		RequestKind kind = arrival.kind();
		Request.Builder request = new Request.Builder().header("Authorization", "Bearer " + arrival.team().key());
		String base = this.fleet.callerUrl(vmId);
		return switch (kind.target()) {
			case COMPLETION -> {
				ObjectNode body = this.prompts.completion(arrival);
				yield request.url(base + "/v1/chat/completions")
					.post(RequestBody.create(body.toString(), JSON))
					.build();
			}
			case ENTRY -> request.url(base + kind.model())
				.header("Idempotency-Key", this.prompts.tag(arrival))
				.post(RequestBody.create(this.prompts.entry(arrival), JSON))
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
