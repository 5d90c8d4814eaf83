package org.skylarkstack.request;

import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import org.skylarkstack.configuration.Configuration;
import org.skylarkstack.configuration.ConfigurationHolder;
import org.skylarkstack.configuration.Team;
import org.skylarkstack.kernel.CancelReason;
import org.skylarkstack.kernel.Cancellation;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.kernel.Verdict;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Registry of the requests that this daemon is processing. It bounds their number and
 * ends those whose key is withdrawn, whose content crashed an engine, or that outlast a
 * shutdown.
 */
public final class OpenRequests {

	private static final Logger LOG = LoggerFactory.getLogger(OpenRequests.class);

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	// A body is copied when it is parsed and when it is sent.
	private static final int BODY_HEAP_DIVISOR = 4;

	private final int maxOpen;

	private final long maxBodyBytes;

	private final AtomicLong bodyBytes = new AtomicLong();

	private final ConfigurationHolder configuration;

	private final AtomicInteger slots = new AtomicInteger();

	private final Set<Slot> openSlots = ConcurrentHashMap.newKeySet();

	private final Set<Entry> entries = ConcurrentHashMap.newKeySet();

	private final AtomicLong endedNotRun = new AtomicLong();

	private final AtomicLong endedMayHaveRun = new AtomicLong();

	private volatile boolean refusing;

	private volatile boolean ending;

	/**
	 * Creates the registry with a bound on all request bodies that is a share of the
	 * heap.
	 * @param maxOpen the maximum number of open requests
	 * @param configuration contains the valid API keys
	 */
	public OpenRequests(int maxOpen, ConfigurationHolder configuration) {
		this(maxOpen, Runtime.getRuntime().maxMemory() / BODY_HEAP_DIVISOR, configuration);
	}

	/**
	 * Creates the registry.
	 * @param maxOpen the maximum number of open requests
	 * @param maxBodyBytes the maximum size of all request bodies together, in bytes
	 * @param configuration contains the valid API keys
	 */
	OpenRequests(int maxOpen, long maxBodyBytes, ConfigurationHolder configuration) {
		this.maxOpen = maxOpen;
		this.maxBodyBytes = maxBodyBytes;
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
		Slot slot = new Slot();
		this.openSlots.add(slot);
		if (this.ending) {
			slot.cancellation.cancel(CancelReason.SHUTDOWN);
		}
		return slot;
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
	public void endSuspects(String fingerprint, Cancellation except) {
		this.entries.stream()
			.map((entry) -> entry.request)
			.filter((request) -> request.fingerprint().equals(fingerprint) && request.cancellation() != except)
			.forEach((request) -> request.cancellation().cancel(CancelReason.CRASH_SUSPECT));
	}

	/** Refuses new requests from now on. */
	public void refuseNew() {
		this.refusing = true;
	}

	/**
	 * Ends all open requests with an explicit error, also those that are still being
	 * received.
	 */
	public void endAll() {
		this.ending = true;
		this.openSlots.forEach((slot) -> slot.cancellation.cancel(CancelReason.SHUTDOWN));
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
	 * Returns the number of requests that the end of a shutdown ended before they ran.
	 * @return the count
	 */
	public long endedNotRun() {
		return this.endedNotRun.get();
	}

	/**
	 * Returns the number of requests that the end of a shutdown ended although they may
	 * have run.
	 * @return the count
	 */
	public long endedMayHaveRun() {
		return this.endedMayHaveRun.get();
	}

	/**
	 * Slot of an open request.
	 */
	public final class Slot implements AutoCloseable {

		private final AtomicBoolean closed = new AtomicBoolean();

		private final Cancellation cancellation = new Cancellation();

		// Written by the thread of the request alone.
		private long reservedBytes;

		private Slot() {
		}

		/**
		 * Reserves memory for the body of the request until the slot is closed.
		 * @param bytes the size of the body so far or as announced, in bytes
		 * @throws RouterException if the bodies of all open requests would be too large
		 */
		public void reserveBody(long bytes) {
			long missing = bytes - this.reservedBytes;
			if (missing <= 0) {
				return;
			}
			if (OpenRequests.this.bodyBytes.addAndGet(missing) > OpenRequests.this.maxBodyBytes) {
				OpenRequests.this.bodyBytes.addAndGet(-missing);
				throw RouterException.retryAfter(ErrorType.TOO_MANY_REQUESTS, RETRY_AFTER);
			}
			this.reservedBytes = bytes;
		}

		/**
		 * Returns the cancellation that ends the request, from before it is read.
		 * @return the cancellation
		 */
		public Cancellation cancellation() {
			return this.cancellation;
		}

		/**
		 * Records a failure of the request, so that operators can find the requests that
		 * a shutdown has ended.
		 * @param path the path of the request
		 * @param failure the failure
		 */
		public void recordFailure(String path, RouterException failure) {
			if (OpenRequests.this.ending && this.cancellation.reason() == CancelReason.SHUTDOWN) {
				boolean notRun = failure.verdict() == Verdict.NOT_RUN;
				(notRun ? OpenRequests.this.endedNotRun : OpenRequests.this.endedMayHaveRun).incrementAndGet();
				LOG.atWarn()
					.addKeyValue("event", "request_ended_at_shutdown")
					.addKeyValue("path", path)
					.addKeyValue("code", failure.type().code())
					.addKeyValue("verdict", failure.verdict().headerValue())
					.log();
			}
		}

		@Override
		public void close() {
			if (this.closed.compareAndSet(false, true)) {
				OpenRequests.this.openSlots.remove(this);
				OpenRequests.this.slots.decrementAndGet();
				OpenRequests.this.bodyBytes.addAndGet(-this.reservedBytes);
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
