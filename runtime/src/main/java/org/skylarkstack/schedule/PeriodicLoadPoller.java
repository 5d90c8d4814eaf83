package org.skylarkstack.schedule;

import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import org.skylarkstack.configuration.ConfigurationHolder;
import org.skylarkstack.engine.EngineClient;
import org.skylarkstack.kernel.Duty;
import org.skylarkstack.misc.TimeSource;

/**
 * Duty that runs a {@link LoadPoller} periodically on a bounded thread pool.
 */
public final class PeriodicLoadPoller implements AutoCloseable {

	private static final Duration POLL_PERIOD = Duration.ofMillis(250);

	private static final int THREADS = 8;

	/**
	 * A poll is skipped if the queue of the thread pool is full; the next period tries it
	 * again.
	 */
	private static final int MAX_QUEUED_POLLS = 256;

	private static final long THREAD_IDLE_SECONDS = 10;

	private static final int RING_CAPACITY_MESSAGES = 16;

	private final ExecutorService executor;

	private final Duty<Runnable> duty;

	/**
	 * Creates a poller; {@link #start()} starts it.
	 * @param configuration provides the engines of each model
	 * @param engines requests the load reports from the engines
	 * @param placer receives the load reports and determines which models need them
	 * @param time the time source
	 */
	public PeriodicLoadPoller(ConfigurationHolder configuration, EngineClient engines, SoftOwnerPlacer placer,
			TimeSource time) {
		ThreadPoolExecutor pool = new ThreadPoolExecutor(THREADS, THREADS, THREAD_IDLE_SECONDS, TimeUnit.SECONDS,
				new LinkedBlockingQueue<>(MAX_QUEUED_POLLS), (task) -> {
					Thread thread = new Thread(task, "load-poll-worker");
					thread.setDaemon(true);
					return thread;
				});
		pool.allowCoreThreadTimeOut(true);
		this.executor = pool;
		LoadPoller poller = new LoadPoller(configuration, engines, placer::needsLoad, placer::applyLoadReport, pool,
				time);
		this.duty = new Duty<>("load-poll", RING_CAPACITY_MESSAGES, POLL_PERIOD, Runnable::run, poller::step);
	}

	/** Starts the duty. */
	public void start() {
		this.duty.start();
	}

	@Override
	public void close() {
		this.duty.close();
		this.executor.shutdownNow();
	}

}
