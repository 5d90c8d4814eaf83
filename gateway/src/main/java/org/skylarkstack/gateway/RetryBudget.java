package org.skylarkstack.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

/**
 * Limits the number of retries, that is attempts beyond the first of each request, for
 * each service.
 *
 * <p>
 * The limit holds for all daemons together, although they exchange no messages about it:
 * each daemon may retry a share of its own requests, and use an equal part of the fixed
 * budget. The limit protects a failing service: retries must not add more load to it than
 * its failed requests have removed.
 */
public final class RetryBudget {

	private static final int WINDOW_SLOTS = 20;

	// Share of the budget that is used. The rest is for requests that reach the
	// service late in the window.
	private static final double USED_SHARE = 0.8;

	private static final double NANOS_PER_SECOND = 1e9;

	private final double ratio;

	private final double fixed;

	private final long slotNanos;

	private final IntSupplier daemons;

	private final Map<String, Counts> services = new HashMap<>();

	/**
	 * Creates a budget.
	 * @param ratio the number of retries as a share of the requests of a window
	 * @param fixed the number of retries of all daemons together in a window beyond that
	 * share
	 * @param windowSeconds the length of the window in seconds
	 * @param daemons returns the number of daemons that share the fixed budget
	 */
	public RetryBudget(double ratio, double fixed, double windowSeconds, IntSupplier daemons) {
		this.ratio = ratio;
		this.fixed = fixed;
		this.slotNanos = Math.max(1, (long) (windowSeconds * NANOS_PER_SECOND / WINDOW_SLOTS));
		this.daemons = daemons;
	}

	/**
	 * Counts a request, which increases the budget of its service.
	 * @param service the name of the service
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void recordRequest(String service, long nowNanos) {
		Counts counts = counts(service, nowNanos);
		counts.requests[counts.index()]++;
	}

	/**
	 * Takes one retry from the budget, if any is left.
	 * @param service the name of the service
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return whether the retry may be sent
	 */
	public boolean tryTake(String service, long nowNanos) {
		if (!hasRetry(service, nowNanos)) {
			return false;
		}
		Counts counts = counts(service, nowNanos);
		counts.retries[counts.index()]++;
		return true;
	}

	/**
	 * Returns whether the budget has a retry left.
	 * @param service the name of the service
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return whether {@link #tryTake} would succeed now
	 */
	public boolean hasRetry(String service, long nowNanos) {
		Counts counts = counts(service, nowNanos);
		double allowed = USED_SHARE
				* (this.ratio * sum(counts.requests) + this.fixed / Math.max(1, this.daemons.getAsInt()));
		return sum(counts.retries) + 1 <= allowed;
	}

	private Counts counts(String service, long nowNanos) {
		Counts counts = this.services.computeIfAbsent(service, (name) -> new Counts());
		counts.advance(nowNanos / this.slotNanos);
		return counts;
	}

	private static long sum(long[] slots) {
		long sum = 0;
		for (long slot : slots) {
			sum += slot;
		}
		return sum;
	}

	/**
	 * Requests and retries of the last window by time slot. There is one slot more than
	 * the window has, so that the limit also holds for windows that begin within a slot.
	 */
	private static final class Counts {

		private final long[] requests = new long[WINDOW_SLOTS + 1];

		private final long[] retries = new long[WINDOW_SLOTS + 1];

		private long slot = Long.MIN_VALUE;

		int index() {
			return (int) Math.floorMod(this.slot, (long) this.requests.length);
		}

		void advance(long current) {
			if (this.slot == Long.MIN_VALUE) {
				this.slot = current;
			}
			long steps = Math.min(this.requests.length, current - this.slot);
			for (long step = steps - 1; step >= 0; step--) {
				int index = (int) Math.floorMod(current - step, (long) this.requests.length);
				this.requests[index] = 0;
				this.retries[index] = 0;
			}
			this.slot = Math.max(this.slot, current);
		}

	}

}
