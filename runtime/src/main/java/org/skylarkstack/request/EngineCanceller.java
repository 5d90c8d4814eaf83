package org.skylarkstack.request;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.skylarkstack.configuration.EngineNode;
import org.skylarkstack.engine.EngineClient;
import org.skylarkstack.engine.HeldRequest;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.misc.TimeSource;

/**
 * Cancels requests on engines in the background until the engines confirm it, for a
 * bounded time.
 */
public final class EngineCanceller implements AutoCloseable {

	// Three hold terms; after that the sweepers free what the engine still holds.
	private static final long RETRY_TIMEOUT_NANOS = 30_000_000_000L;

	private static final int MAX_ENTRIES = 10_000;

	// An engine that does not answer blocks one worker for up to two seconds.
	private static final int WORKERS = 4;

	private final EngineClient engines;

	private final Function<String, Optional<EngineNode>> engineById;

	private final TimeSource time;

	private final PendingCancels pending = new PendingCancels(MAX_ENTRIES, RETRY_TIMEOUT_NANOS);

	private final Set<String> busyEngines = new HashSet<>();

	private final ExecutorService workers;

	/**
	 * Creates a canceller.
	 * @param engines calls engines
	 * @param engineById finds an engine in the configuration
	 * @param time the time source
	 */
	public EngineCanceller(EngineClient engines, Function<String, Optional<EngineNode>> engineById, TimeSource time) {
		this.engines = engines;
		this.engineById = engineById;
		this.time = time;
		ThreadPoolExecutor pool = new ThreadPoolExecutor(WORKERS, WORKERS, 1, TimeUnit.MINUTES,
				new LinkedBlockingQueue<>(), (task) -> {
					Thread thread = new Thread(task, "engine-cancel");
					thread.setDaemon(true);
					return thread;
				});
		pool.allowCoreThreadTimeOut(true);
		this.workers = pool;
	}

	/**
	 * Cancels a request without waiting for the engine.
	 * @param engineId the engine
	 * @param requestId the request and attempt
	 */
	public void cancel(String engineId, String requestId) {
		synchronized (this) {
			this.pending.add(engineId, requestId, this.time.nanos());
		}
		submit(engineId);
	}

	/** Tries all unconfirmed cancels again. To be called periodically. */
	public void retry() {
		Set<String> due;
		synchronized (this) {
			due = this.pending.engines();
		}
		due.forEach(this::submit);
	}

	private void submit(String engineId) {
		synchronized (this) {
			if (this.workers.isShutdown() || !this.busyEngines.add(engineId)) {
				return;
			}
		}
		this.workers.execute(() -> {
			try {
				cancelPending(engineId);
			}
			finally {
				synchronized (this) {
					this.busyEngines.remove(engineId);
				}
			}
		});
	}

	// Cancels what is due on one engine and asks the engine what it still holds.
	void cancelPending(String engineId) {
		List<String> due;
		synchronized (this) {
			due = this.pending.due(engineId, this.time.nanos());
		}
		Optional<EngineNode> engine = this.engineById.apply(engineId);
		if (due.isEmpty()) {
			return;
		}
		try {
			Set<String> held = Set.of();
			if (engine.isPresent()) {
				due.forEach((requestId) -> this.engines.cancel(engine.get(), requestId));
				held = this.engines.held(engine.get()).stream().map(HeldRequest::requestId).collect(Collectors.toSet());
			}
			synchronized (this) {
				this.pending.confirm(engineId, due, held);
			}
		}
		catch (RouterException ex) {
			// The engine did not answer; the next periodic call tries again.
		}
	}

	/**
	 * Returns the cancels that no engine has confirmed yet.
	 * @return the count
	 */
	public synchronized int unconfirmed() {
		return this.pending.size();
	}

	/**
	 * Returns the cancels that were given up.
	 * @return the count since start
	 */
	public synchronized long abandoned() {
		return this.pending.abandoned();
	}

	/** Stops without another cancel, as if the process had died. */
	public void abandon() {
		this.workers.shutdownNow();
	}

	/** Waits a short time for the cancels that are running. */
	@Override
	public void close() {
		this.workers.shutdown();
		try {
			this.workers.awaitTermination(2, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
