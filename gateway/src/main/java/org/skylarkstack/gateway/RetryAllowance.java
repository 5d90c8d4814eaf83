package org.skylarkstack.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

/**
 * Bounds the attempts beyond the first of each request, for each service.
 *
 * <p>
 * The bound holds for all daemons together without any message: each daemon takes the
 * share of its own requests and an equal part of the fixed allowance. It answers the load
 * pattern of a failing service, which must not get more load than it lost.
 */
public final class RetryAllowance {

	private static final int SLOTS = 20;

	// Leaves room for requests that reach the service late in the window.
	private static final double SAFETY = 0.8;

	private static final double NANOS_PER_SECOND = 1e9;

	private final double ratio;

	private final double fixed;

	private final long slotNanos;

	private final IntSupplier daemons;

	private final Map<String, Counts> services = new HashMap<>();

	/**
	 * Creates an allowance.
	 * @param ratio the share of the requests of a window
	 * @param fixed the allowance of all daemons beyond that share
	 * @param windowSeconds the length of the window in seconds
	 * @param daemons returns the number of daemons that share the fixed allowance
	 */
	public RetryAllowance(double ratio, double fixed, double windowSeconds, IntSupplier daemons) {
		this.ratio = ratio;
		this.fixed = fixed;
		this.slotNanos = Math.max(1, (long) (windowSeconds * NANOS_PER_SECOND / SLOTS));
		this.daemons = daemons;
	}

	/**
	 * Counts a request.
	 * @param service the service
	 * @param nowNanos the present time
	 */
	public void request(String service, long nowNanos) {
		Counts counts = counts(service, nowNanos);
		counts.requests[counts.index()]++;
	}

	/**
	 * Takes an attempt beyond the first, if the allowance permits one.
	 * @param service the service
	 * @param nowNanos the present time
	 * @return whether the attempt may go ahead
	 */
	public boolean tryTake(String service, long nowNanos) {
		Counts counts = counts(service, nowNanos);
		double allowed = SAFETY
				* (this.ratio * sum(counts.requests) + this.fixed / Math.max(1, this.daemons.getAsInt()));
		if (sum(counts.extras) + 1 > allowed) {
			return false;
		}
		counts.extras[counts.index()]++;
		return true;
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
	 * Requests and further attempts of the last window, by time slot. One slot more than
	 * the window keeps the bound for windows that begin within a slot.
	 */
	private static final class Counts {

		private final long[] requests = new long[SLOTS + 1];

		private final long[] extras = new long[SLOTS + 1];

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
				this.extras[index] = 0;
			}
			this.slot = Math.max(this.slot, current);
		}

	}

}
