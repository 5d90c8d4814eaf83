package org.skylarkstack.request;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

import org.skylarkstack.kernel.CancelReason;
import org.skylarkstack.kernel.Cancellation;
import org.skylarkstack.kernel.Verdict;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Refuses work that is not expected to be complete before a shutdown ends it: new
 * requests, requests that leave a queue, and further attempts. It refuses nothing else,
 * because all VMs of a data centre may stop at the same time.
 */
public final class ShutdownAdmission {

	private static final Logger LOG = LoggerFactory.getLogger(ShutdownAdmission.class);

	private static final double MARGIN = 1.25;

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final ShutdownSequence sequence;

	private final RequestDurations durations = new RequestDurations();

	private final Set<Waiting> waiting = ConcurrentHashMap.newKeySet();

	private final AtomicLong refused = new AtomicLong();

	/**
	 * Creates an admission.
	 * @param sequence the phases of the shutdown
	 */
	public ShutdownAdmission(ShutdownSequence sequence) {
		this.sequence = sequence;
	}

	/**
	 * Returns whether work may begin only if its longest duration fits into the time
	 * left. While the load balancer still sends requests to this daemon, the usual
	 * duration suffices. A request that may have run is continued by its usual duration,
	 * because a refusal would tell its caller no more than the end of the shutdown.
	 * @param verdict whether the request may have run so far
	 * @return whether the longest duration counts
	 */
	boolean requiresCertainty(Verdict verdict) {
		return verdict == Verdict.NOT_RUN && this.sequence.phase().refusesNew();
	}

	/**
	 * Returns the duration of a completion that decides whether it may begin.
	 * @param request the request
	 * @param delivered the number of output tokens that the caller already has
	 * @param verdict whether the request may have run so far
	 * @return the duration in nanoseconds
	 */
	long completionNanos(CompletionRequest request, int delivered, Verdict verdict) {
		return requiresCertainty(verdict) ? this.durations.longestCompletionNanos(request)
				: this.durations.completionNanos(request, delivered);
	}

	RequestDurations durations() {
		return this.durations;
	}

	/**
	 * Throws if work is not expected to be complete in time.
	 * @param target the model or route of the request, for the log
	 * @param expectedNanos estimates the duration of the work in nanoseconds
	 * @param verdict whether the request may have run so far
	 * @param nowNanos the monotonic time in nanoseconds
	 * @throws org.skylarkstack.kernel.RouterException if the time is too short
	 */
	void check(String target, LongSupplier expectedNanos, Verdict verdict, long nowNanos) {
		if (!permits(target, expectedNanos, verdict, nowNanos)) {
			throw CancelReason.SHUTDOWN.failure(verdict);
		}
	}

	/**
	 * Decides whether work is expected to be complete in time.
	 * @param target the model or route of the request, for the log
	 * @param expectedNanos estimates the duration of the work in nanoseconds
	 * @param verdict whether the request may have run so far
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return whether the work may begin
	 */
	boolean permits(String target, LongSupplier expectedNanos, Verdict verdict, long nowNanos) {
		long remaining = this.sequence.remainingNanos(nowNanos);
		if (remaining == Long.MAX_VALUE) {
			return true;
		}
		long expected = expectedNanos.getAsLong();
		if (MARGIN * expected <= remaining) {
			return true;
		}
		this.refused.incrementAndGet();
		LOG.atInfo()
			.addKeyValue("event", "request_refused_at_shutdown")
			.addKeyValue("target", target)
			.addKeyValue("verdict", verdict.headerValue())
			.addKeyValue("expected_ms", expected / NANOS_PER_MILLI)
			.addKeyValue("remaining_ms", remaining / NANOS_PER_MILLI)
			.log();
		return false;
	}

	/**
	 * Registers a request that waits in a queue.
	 * @param target the model or route of the request, for the log
	 * @param expectedNanos estimates the duration of the work in nanoseconds
	 * @param verdict whether the request may have run so far
	 * @param cancellation ends the request
	 * @return the registration; after it has been closed, the request is not ended
	 */
	Waiting waiting(String target, LongSupplier expectedNanos, Verdict verdict, Cancellation cancellation) {
		Waiting entry = new Waiting(target, expectedNanos, verdict, cancellation);
		this.waiting.add(entry);
		return entry;
	}

	/**
	 * Ends the waiting requests that could not be complete in time any more.
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public void endWaiting(long nowNanos) {
		this.waiting.forEach((entry) -> entry.endIfLate(nowNanos));
	}

	/**
	 * Returns how often work was refused because the remaining time was too short.
	 * @return the count
	 */
	public long refused() {
		return this.refused.get();
	}

	/**
	 * Request that waits in a queue.
	 */
	final class Waiting implements AutoCloseable {

		private final String target;

		private final LongSupplier expectedNanos;

		private final Verdict verdict;

		private final Cancellation cancellation;

		private boolean closed;

		private Waiting(String target, LongSupplier expectedNanos, Verdict verdict, Cancellation cancellation) {
			this.target = target;
			this.expectedNanos = expectedNanos;
			this.verdict = verdict;
			this.cancellation = cancellation;
		}

		private synchronized void endIfLate(long nowNanos) {
			if (!this.closed && !permits(this.target, this.expectedNanos, this.verdict, nowNanos)) {
				this.closed = true;
				this.cancellation.cancel(CancelReason.SHUTDOWN);
			}
		}

		@Override
		public void close() {
			ShutdownAdmission.this.waiting.remove(this);
			synchronized (this) {
				this.closed = true;
			}
		}

	}

}
