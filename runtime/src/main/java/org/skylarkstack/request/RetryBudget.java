package org.skylarkstack.request;

/**
 * Limits retries to 10% of the requests of this VM in a sliding window of 10 s, so that
 * retries do not add more load to a failing pool than it has lost.
 */
public final class RetryBudget {

	private static final int SLOTS = 10;

	private static final long SLOT_NANOS = 1_000_000_000L;

	private static final double RETRY_SHARE = 0.1;

	// Allows some retries on a VM that has hardly any requests.
	private static final int MIN_RETRIES = 3;

	private final long[] requests = new long[SLOTS];

	private final long[] retries = new long[SLOTS];

	private final long originNanos;

	private long slot;

	/**
	 * Creates a budget.
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public RetryBudget(long nowNanos) {
		this.originNanos = nowNanos;
	}

	/**
	 * Counts a request.
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public synchronized void recordRequest(long nowNanos) {
		advance(nowNanos);
		this.requests[(int) (this.slot % SLOTS)]++;
	}

	/**
	 * Charges one retry to the budget if it allows one.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return whether the retry is allowed
	 */
	public synchronized boolean tryRetry(long nowNanos) {
		advance(nowNanos);
		double allowed = Math.max(MIN_RETRIES, RETRY_SHARE * sum(this.requests));
		if (sum(this.retries) + 1 > allowed) {
			return false;
		}
		this.retries[(int) (this.slot % SLOTS)]++;
		return true;
	}

	private void advance(long nowNanos) {
		long current = Math.max(0, (nowNanos - this.originNanos) / SLOT_NANOS);
		long steps = Math.min(SLOTS, current - this.slot);
		for (long step = 1; step <= steps; step++) {
			int index = (int) ((current - steps + step) % SLOTS);
			this.requests[index] = 0;
			this.retries[index] = 0;
		}
		this.slot = Math.max(this.slot, current);
	}

	private static long sum(long[] slots) {
		return java.util.Arrays.stream(slots).sum();
	}

}
