package org.skylarkstack.request;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import org.skylarkstack.configuration.Configuration;
import org.skylarkstack.configuration.ConfigurationHolder;
import org.skylarkstack.configuration.Team;
import org.skylarkstack.kernel.CancelReason;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.kernel.Verdict;

/**
 * Registry of the requests that this daemon is processing. It bounds their number and
 * ends those whose key is withdrawn, whose content crashed an engine, or that outlast a
 * shutdown.
 */
public final class OpenRequests {

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private final int maxOpen;

	private final ConfigurationHolder configuration;

	private final AtomicInteger slots = new AtomicInteger();

	private final Set<Entry> entries = ConcurrentHashMap.newKeySet();

	private volatile boolean refusing;

	/**
	 * Creates the registry.
	 * @param maxOpen the maximum number of open requests
	 * @param configuration contains the valid API keys
	 */
	public OpenRequests(int maxOpen, ConfigurationHolder configuration) {
		this.maxOpen = maxOpen;
		this.configuration = configuration;
		configuration.onChange(this::endWithdrawn);
	}

	/**
	 * Takes a slot for a request before the request is read.
	 * @return the slot, to be closed when the response is complete
	 * @throws RouterException if all slots are taken or the daemon is shutting down
	 */
	public Slot acquireSlot() {
		if (this.refusing) {
			throw RouterException.retryAfter(ErrorType.NOT_READY, RETRY_AFTER);
		}
		if (this.slots.incrementAndGet() > this.maxOpen) {
			this.slots.decrementAndGet();
			throw RouterException.retryAfter(ErrorType.TOO_MANY_REQUESTS, RETRY_AFTER);
		}
		return new Slot();
	}

	/**
	 * Adds a request whose key was accepted. The key is checked again, because it may
	 * have been withdrawn since; the request is then cancelled.
	 * @param request the request
	 * @return the entry, which removes the request when it is closed
	 */
	public Entry add(OpenRequest request) {
		Entry entry = new Entry(request);
		this.entries.add(entry);
		endWithdrawn(entry, this.configuration.current());
		return entry;
	}

	private void endWithdrawn(Configuration current) {
		this.entries.forEach((entry) -> endWithdrawn(entry, current));
	}

	private static void endWithdrawn(Entry entry, Configuration current) {
		OpenRequest request = entry.request;
		if (!request.keyHash().isEmpty()
				&& !current.teamOfKey(request.keyHash()).map(Team::id).filter(request.teamId()::equals).isPresent()) {
			request.cancellation().cancel(CancelReason.KEY_WITHDRAWN);
		}
	}

	/**
	 * Ends all requests that have the given fingerprint, except one.
	 * @param fingerprint the hash of team, path and body
	 * @param except the cancellation of the request to keep, or a new cancellation to
	 * keep none
	 */
	public void endSuspects(String fingerprint, org.skylarkstack.kernel.Cancellation except) {
		this.entries.stream()
			.map((entry) -> entry.request)
			.filter((request) -> request.fingerprint().equals(fingerprint) && request.cancellation() != except)
			.forEach((request) -> request.cancellation().cancel(CancelReason.CRASH_SUSPECT));
	}

	/** Refuses new requests from now on. */
	public void refuseNew() {
		this.refusing = true;
	}

	/** Ends all open requests with an explicit error. */
	public void endAll() {
		this.entries.forEach((entry) -> entry.request.cancellation().cancel(CancelReason.SHUTDOWN));
	}

	/**
	 * Returns the number of open requests.
	 * @return the count
	 */
	public int openCount() {
		return this.slots.get();
	}

	/**
	 * Slot of an open request.
	 */
	public final class Slot implements AutoCloseable {

		private final AtomicBoolean closed = new AtomicBoolean();

		private Slot() {
		}

		@Override
		public void close() {
			if (this.closed.compareAndSet(false, true)) {
				OpenRequests.this.slots.decrementAndGet();
			}
		}

	}

	/**
	 * Open request in the registry. Two requests with equal content have separate
	 * entries.
	 */
	public final class Entry implements AutoCloseable {

		private final OpenRequest request;

		private Entry(OpenRequest request) {
			this.request = request;
		}

		/**
		 * Throws if the request was cancelled before it started.
		 */
		public void check() {
			this.request.cancellation().check(Verdict.NOT_RUN);
		}

		@Override
		public void close() {
			OpenRequests.this.entries.remove(this);
		}

	}

}
