package org.skylarkstack.standin;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Function;

/**
 * Runs an {@link EngineModel} in real time on one thread and dispatches its events to the
 * threads that serve the requests.
 */
final class EngineLoop implements AutoCloseable {

	private final EngineModel model;

	private final ReentrantLock lock = new ReentrantLock();

	private final Condition modelChanged = this.lock.newCondition();

	private final Map<Long, BlockingQueue<EngineEvent>> eventQueues = new ConcurrentHashMap<>();

	private final Thread thread;

	private boolean closed;

	EngineLoop(String name, EngineModel model) {
		this.model = model;
		this.thread = new Thread(this::run, name);
		this.thread.setDaemon(true);
		this.thread.start();
	}

	private void run() {
		this.lock.lock();
		try {
			while (!this.closed) {
				dispatch(this.model.advance(System.nanoTime()));
				long next = this.model.nextAt();
				if (next == Long.MAX_VALUE) {
					this.modelChanged.await();
				}
				else {
					this.modelChanged.awaitNanos(next - System.nanoTime());
				}
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			this.lock.unlock();
		}
	}

	private void dispatch(List<EngineEvent> events) {
		for (EngineEvent event : events) {
			BlockingQueue<EngineEvent> queue = this.eventQueues.get(event.handle());
			if (queue != null) {
				queue.add(event);
			}
		}
	}

	/**
	 * Calls a function with the model while holding the lock, then wakes up the loop.
	 * @param <T> the type of the result
	 * @param function the function; it must not block
	 * @return the result of the function
	 */
	<T> T apply(Function<EngineModel, T> function) {
		this.lock.lock();
		try {
			T result = function.apply(this.model);
			this.modelChanged.signal();
			return result;
		}
		finally {
			this.lock.unlock();
		}
	}

	OptionalLong offer(EngineRequest request) {
		return apply((engine) -> {
			OptionalLong handle = engine.offer(request, System.nanoTime());
			handle.ifPresent((number) -> this.eventQueues.put(number, new LinkedBlockingQueue<>()));
			return handle;
		});
	}

	EngineEvent awaitEvent(long handle) throws InterruptedException {
		BlockingQueue<EngineEvent> queue = this.eventQueues.get(handle);
		if (queue == null) {
			return new EngineEvent(handle, EngineEvent.Type.CANCELLED, 0);
		}
		return queue.take();
	}

	void removeQueue(long handle) {
		this.eventQueues.remove(handle);
	}

	/** Stops the loop and sends a cancellation to all waiting threads. */
	@Override
	public void close() {
		this.lock.lock();
		try {
			this.closed = true;
			this.modelChanged.signalAll();
		}
		finally {
			this.lock.unlock();
		}
		this.eventQueues.forEach((handle, queue) -> queue.add(new EngineEvent(handle, EngineEvent.Type.CANCELLED, 0)));
		try {
			this.thread.join(TimeUnit.SECONDS.toMillis(1));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
