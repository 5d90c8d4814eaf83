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
 * Cancels requests on engines in the background. Each cancel is repeated until the engine
 * no longer holds the request, for at most 30 s.
 */
public final class EngineCanceller implements AutoCloseable {

	// Three times the hold timeout; after that the sweepers free what the engine still
	// holds.
	private static final long RETRY_TIMEOUT_NANOS = 30_000_000_000L;

	private static final int MAX_ENTRIES = 10_000;

	// An unresponsive engine blocks one worker for up to 2 s.
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
	 * @param engineById finds an engine of the current configuration by its id
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
	 * Queues the cancel of a request and returns without waiting for the engine.
	 * @param engineId the engine
	 * @param requestId the id of the attempt to cancel
	 */
	public void cancel(String engineId, String requestId) {
		synchronized (this) {
			this.pending.add(engineId, requestId, this.time.nanos());
		}
		submit(engineId);
	}

	/** Retries all unconfirmed cancels. To be called periodically. */
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

	// Sends the pending cancels of one engine and asks the engine which requests it still
	// holds. Cancels for an engine that is no longer configured count as confirmed.
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
			// The engine did not respond; the next periodic call retries.
		}
	}

	/**
	 * Returns the number of cancels that are not yet confirmed.
	 * @return the count
	 */
	public synchronized int unconfirmed() {
		return this.pending.size();
	}

	/**
	 * Returns the number of cancels that were dropped, because the queue was full or the
	 * retry timeout had passed.
	 * @return the count since start
	 */
	public synchronized long abandonedCount() {
		return this.pending.abandonedCount();
	}

	/** Stops without sending further cancels, as if the process had crashed. */
	public void stopNow() {
		this.workers.shutdownNow();
	}

	/** Waits up to 2 s for the cancels that are being sent. */
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
