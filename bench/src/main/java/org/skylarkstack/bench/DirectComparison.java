package org.skylarkstack.bench;

import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.management.OperatingSystemMXBean;
import okhttp3.Response;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.skylarkstack.configuration.EngineRole;
import org.skylarkstack.configuration.Team;
import org.skylarkstack.fleet.EnginePlan;
import org.skylarkstack.fleet.FleetClient;
import org.skylarkstack.fleet.FleetPlan;
import org.skylarkstack.fleet.FleetResponse;
import org.skylarkstack.fleet.LocalFleet;
import org.skylarkstack.fleet.VmPlan;

/**
 * Compares requests that are sent through a daemon with the same requests sent to the
 * engines directly, both in one process. The router's heap is the difference between the
 * two measurements, because callers, engines and the daemon share the process. Its CPU
 * time is the larger of that difference and the CPU time of the daemon's threads.
 */
final class DirectComparison {

	private static final String MODEL = "model";

	private static final String KEY = "direct-key";

	private static final double NANOS_PER_MILLI = 1e6;

	private static final double NANOS_PER_MICRO = 1e3;

	private static final int LATENCY_REQUESTS = 400;

	private static final int LATENCY_CALLERS = 8;

	private static final int RELAY_STREAMS = 64;

	private static final int RELAY_TOKENS = 1_000;

	/**
	 * Half of these threads wait at each prefill engine, which rejects more than 64
	 * requests.
	 */
	private static final int OPENING_THREADS = 100;

	/** Name prefix of the daemon threads that serve callers. */
	private static final String DAEMON_THREAD_PREFIX = "JettyServerThreadPool";

	/**
	 * Token time while memory is measured. With hundreds of streams, a step of an engine
	 * takes ten times as long.
	 */
	private static final int OPEN_STREAM_TOKEN_MILLIS = 50;

	private final int openStreams;

	private final long seed;

	private final Consumer<String> progress;

	/**
	 * Creates a comparison.
	 * @param openStreams the number of open streams for which memory is measured, or 0 to
	 * skip the measurement
	 * @param seed the seed of the prompts
	 * @param progress receives progress messages
	 */
	DirectComparison(int openStreams, long seed, Consumer<String> progress) {
		this.openStreams = openStreams;
		this.seed = seed;
		this.progress = progress;
	}

	DirectFigures run() {
		Histogram[] firstTokenTimes = histogramPair();
		Histogram[] gaps = histogramPair();
		this.progress.accept("direct comparison: latency");
		try (ComparisonFleet fleet = new ComparisonFleet(10)) {
			measureLatency(fleet, histogramPair(), histogramPair(), LATENCY_REQUESTS / 4);
			measureLatency(fleet, firstTokenTimes, gaps, LATENCY_REQUESTS);
		}
		this.progress.accept("direct comparison: CPU time");
		CpuUse[] cpu = new CpuUse[2];
		try (ComparisonFleet fleet = new ComparisonFleet(1)) {
			for (int round = 0; round < 3; round++) {
				// Only the last round is used; the others warm up the JIT compiler.
				cpu[0] = measureCpu(fleet, false);
				cpu[1] = measureCpu(fleet, true);
			}
		}
		this.progress.accept("direct comparison: heap of open streams");
		OpenStreams direct = measureOpenStreams(false);
		OpenStreams routed = measureOpenStreams(true);
		double routerNanosPerToken = Math.max(cpu[1].daemonNanos(), cpu[1].processNanos() - cpu[0].processNanos());
		return new DirectFigures(LATENCY_REQUESTS, addedMillis(firstTokenTimes, 50), addedMillis(firstTokenTimes, 99),
				addedMillis(gaps, 50), addedMillis(gaps, 99), cpu[0].processNanos() / NANOS_PER_MICRO,
				cpu[1].processNanos() / NANOS_PER_MICRO, cpu[1].daemonNanos() / NANOS_PER_MICRO,
				1e9 / Math.max(1, routerNanosPerToken), Math.min(direct.opened(), routed.opened()),
				direct.bytesPerStream(), routed.bytesPerStream());
	}

	private static Histogram[] histogramPair() {
		return new Histogram[] { new ConcurrentHistogram(LoadRunner.MAX_TRACKABLE_NANOS, 3),
				new ConcurrentHistogram(LoadRunner.MAX_TRACKABLE_NANOS, 3) };
	}

	private static double addedMillis(Histogram[] directAndRouted, double percentile) {
		return (directAndRouted[1].getValueAtPercentile(percentile)
				- directAndRouted[0].getValueAtPercentile(percentile)) / NANOS_PER_MILLI;
	}

	private void measureLatency(ComparisonFleet fleet, Histogram[] firstTokenTimes, Histogram[] gaps, int requests) {
		List<Callable<Integer>> tasks = new ArrayList<>();
		for (int request = 0; request < requests; request++) {
			int number = request;
			tasks.add(() -> {
				// Alternates the order, because the second request finds its prompt in
				// the prefix cache.
				for (int turn = 0; turn < 2; turn++) {
					boolean routed = (number + turn) % 2 == 1;
					int index = routed ? 1 : 0;
					long start = System.nanoTime();
					StreamTiming timing = new StreamTiming(gaps[index]);
					fleet.send(routed, fleet.body(this.seed + number, 200, 20), timing);
					firstTokenTimes[index].recordValue(timing.firstTokenNanos() - start);
				}
				return 0;
			});
		}
		runAll(LATENCY_CALLERS, tasks);
	}

	private CpuUse measureCpu(ComparisonFleet fleet, boolean routed) {
		OperatingSystemMXBean system = ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);
		List<Callable<Integer>> tasks = new ArrayList<>();
		for (int stream = 0; stream < RELAY_STREAMS; stream++) {
			ObjectNode body = fleet.body(this.seed + stream, 100, RELAY_TOKENS);
			tasks.add(() -> {
				StreamTiming timing = new StreamTiming(new Histogram(LoadRunner.MAX_TRACKABLE_NANOS, 3));
				fleet.send(routed, body, timing);
				return timing.tokens();
			});
		}
		long process = system.getProcessCpuTime();
		Map<Long, Long> threads = daemonThreadNanos();
		int tokens = Math.max(1, runAll(RELAY_STREAMS, tasks));
		double processNanos = (system.getProcessCpuTime() - process) / (double) tokens;
		long daemon = 0;
		for (Map.Entry<Long, Long> thread : daemonThreadNanos().entrySet()) {
			daemon += thread.getValue() - threads.getOrDefault(thread.getKey(), 0L);
		}
		return new CpuUse(processNanos, daemon / (double) tokens);
	}

	private static Map<Long, Long> daemonThreadNanos() {
		ThreadMXBean bean = ManagementFactory.getThreadMXBean();
		Map<Long, Long> nanos = new HashMap<>();
		for (ThreadInfo thread : bean.getThreadInfo(bean.getAllThreadIds())) {
			if (thread != null && thread.getThreadName().startsWith(DAEMON_THREAD_PREFIX)) {
				nanos.put(thread.getThreadId(), bean.getThreadCpuTime(thread.getThreadId()));
			}
		}
		return nanos;
	}

	private OpenStreams measureOpenStreams(boolean routed) {
		if (this.openStreams == 0) {
			return new OpenStreams(0, 0);
		}
		List<Response> responses = java.util.Collections.synchronizedList(new ArrayList<>());
		try (ComparisonFleet fleet = new ComparisonFleet(OPEN_STREAM_TOKEN_MILLIS)) {
			long before = usedHeap();
			AtomicBoolean limitReached = new AtomicBoolean();
			List<Callable<Integer>> tasks = new ArrayList<>();
			for (int stream = 0; stream < this.openStreams; stream++) {
				ObjectNode body = fleet.body(this.seed + stream, 100, 1_000);
				tasks.add(() -> openUnlessLimited(fleet, routed, body, responses, limitReached));
			}
			int opened = runAll(OPENING_THREADS, tasks);
			long bytes = usedHeap() - before;
			return new OpenStreams(opened, bytes / Math.max(1, opened));
		}
	}

	private int openUnlessLimited(ComparisonFleet fleet, boolean routed, ObjectNode body, List<Response> responses,
			AtomicBoolean limitReached) {
		if (!limitReached.get()) {
			try {
				responses.add(fleet.open(routed, body));
				return 1;
			}
			catch (IOException ex) {
				// The fleet's limit is reached; the result states how many streams are
				// open.
				if (!limitReached.getAndSet(true)) {
					this.progress.accept("  cannot open more streams: " + ex.getMessage());
				}
			}
		}
		return 0;
	}

	private static long usedHeap() {
		for (int collection = 0; collection < 3; collection++) {
			System.gc();
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(100));
		}
		return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
	}

	private static int runAll(int threads, List<Callable<Integer>> tasks) {
		ExecutorService executor = Executors.newFixedThreadPool(threads);
		try {
			int sum = 0;
			for (Future<Integer> task : executor.invokeAll(tasks)) {
				sum += task.get();
			}
			return sum;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException("the comparison was interrupted", ex);
		}
		catch (java.util.concurrent.ExecutionException ex) {
			throw new IllegalStateException("a request of the comparison failed", ex);
		}
		finally {
			executor.shutdownNow();
		}
	}

	private record CpuUse(double processNanos, double daemonNanos) {

	}

	private record OpenStreams(int opened, long bytesPerStream) {

	}

	/**
	 * Fleet of one daemon whose engines are also called directly.
	 */
	private static final class ComparisonFleet implements AutoCloseable {

		/** Exceeds the number of open streams on each decode engine. */
		private static final int DECODE_SLOTS = 1_200;

		private static final int MEMORY_PIECES = 4_000;

		private static final long UNLIMITED = 1_000_000_000L;

		private final ObjectMapper mapper = new ObjectMapper();

		private final CompletionSender sender = new CompletionSender();

		private final LocalFleet fleet;

		private int nextRequest;

		ComparisonFleet(int tokenMillis) {
			List<EnginePlan> engines = new ArrayList<>();
			for (int engine = 0; engine < 5; engine++) {
				EngineRole role = (engine < 2) ? EngineRole.PREFILL : EngineRole.DECODE;
				engines.add(new EnginePlan("engine-" + engine, "dc-a", MODEL, role, DECODE_SLOTS, MEMORY_PIECES,
						200_000, tokenMillis));
			}
			this.fleet = LocalFleet.start(new FleetPlan(List.of(new VmPlan("vm-1", "dc-a")), engines,
					List.of(new Team("team", UNLIMITED, UNLIMITED, 1, null)), Map.of(KEY, "team"), "fair-queue"));
			FleetClient client = new FleetClient(this.fleet);
			FleetResponse submitted = client.submit("vm-1", this.fleet.firstTicket());
			if (submitted.status() != 201 || client.awaitReady(java.time.Duration.ofSeconds(30)) < 0) {
				throw new IllegalStateException("fleet did not become ready: " + submitted.body());
			}
		}

		ObjectNode body(long number, int promptTokens, int outputTokens) {
			ObjectNode body = this.mapper.createObjectNode()
				.put("model", MODEL)
				.put("stream", true)
				.put("max_tokens", outputTokens);
			body.putArray("messages")
				.addObject()
				.put("role", "user")
				.put("content", number + " word".repeat(promptTokens));
			return body;
		}

		Response open(boolean routed, ObjectNode body) throws IOException {
			if (routed) {
				return this.sender.sendRouted(this.fleet.callerUrl("vm-1"), KEY, body);
			}
			int number = nextRequest();
			return this.sender.sendDirect(this.fleet.engine("engine-" + number % 2).url(),
					this.fleet.engine("engine-" + (2 + number % 3)).url(), body);
		}

		private synchronized int nextRequest() {
			this.nextRequest++;
			return this.nextRequest;
		}

		void send(boolean routed, ObjectNode body, StreamTiming timing) throws IOException {
			try (Response response = open(routed, body)) {
				timing.read(response.body().source());
			}
		}

		@Override
		public void close() {
			this.sender.close();
			this.fleet.close();
		}

	}

}
