package org.skylarkstack.kernel;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

import org.jctools.queues.MpscArrayQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Named thread that handles messages from a bounded queue and runs a periodic task. The
 * handler and the task run only on this thread, so their state needs no locks.
 *
 * @param <M> the message type
 */
public final class Duty<M> implements AutoCloseable {

	private static final Logger LOG = LoggerFactory.getLogger(Duty.class);

	private static final int BATCH_MESSAGES = 256;

	private static final long JOIN_TIMEOUT_MILLIS = 2_000;

	private final MpscArrayQueue<M> queue;

	private final Consumer<M> handler;

	private final Runnable periodicTask;

	private final long taskPeriodNanos;

	private final Thread thread;

	private final AtomicLong dropped = new AtomicLong();

	private volatile boolean stopping;

	private volatile boolean parked;

	/**
	 * Creates the thread, which {@link #start()} starts.
	 * @param name the thread name
	 * @param capacity the capacity of the queue in messages
	 * @param taskPeriod the time between two runs of the periodic task
	 * @param handler handles one message
	 * @param periodicTask the periodic task
	 */
	public Duty(String name, int capacity, Duration taskPeriod, Consumer<M> handler, Runnable periodicTask) {
		this.queue = new MpscArrayQueue<>(capacity);
		this.handler = handler;
		this.periodicTask = periodicTask;
		this.taskPeriodNanos = taskPeriod.toNanos();
		this.thread = new Thread(this::run, name);
		this.thread.setDaemon(true);
	}

	/** Starts the thread. */
	public void start() {
		this.thread.start();
	}

	/**
	 * Queues a message without blocking.
	 * @param message the message
	 * @return {@code false} if the queue was full; the message is then counted as dropped
	 */
	public boolean offer(M message) {
		if (!this.queue.offer(message)) {
			this.dropped.incrementAndGet();
			return false;
		}
		if (this.parked) {
			LockSupport.unpark(this.thread);
		}
		return true;
	}

	/**
	 * Returns how many messages were dropped because the queue was full.
	 * @return the number since the creation of the thread
	 */
	public long dropped() {
		return this.dropped.get();
	}

	private void run() {
		long nextTaskNanos = System.nanoTime();
		while (!this.stopping) {
			int handled = this.queue.drain(this::handleSafely, BATCH_MESSAGES);
			long now = System.nanoTime();
			if (now - nextTaskNanos >= 0) {
				runSafely(this.periodicTask);
				nextTaskNanos = now + this.taskPeriodNanos;
			}
			if (handled == 0) {
				park(nextTaskNanos - now);
			}
		}
	}

	private void park(long nanos) {
		this.parked = true;
		if (this.queue.isEmpty() && !this.stopping && nanos > 0) {
			LockSupport.parkNanos(this, nanos);
		}
		this.parked = false;
	}

	private void handleSafely(M message) {
		runSafely(() -> this.handler.accept(message));
	}

	private void runSafely(Runnable action) {
		try {
			action.run();
		}
		catch (RuntimeException | StackOverflowError ex) {
			LOG.atError()
				.addKeyValue("event", "duty_failed")
				.addKeyValue("duty", this.thread.getName())
				.setCause(ex)
				.log();
		}
	}

	@Override
	public void close() {
		this.stopping = true;
		LockSupport.unpark(this.thread);
		try {
			this.thread.join(JOIN_TIMEOUT_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
