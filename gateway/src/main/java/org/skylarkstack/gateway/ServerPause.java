package org.skylarkstack.gateway;

/**
 * Time for which a backend server wants no requests from this daemon. After it, requests
 * return step by step: one, and two more for each response, until enough responses have
 * shown that the server takes them. Confined to one thread.
 */
final class ServerPause {

	private static final int RESPONSES_TO_RECOVER = 8;

	private static final int REQUESTS_PER_RESPONSE = 2;

	// A request without a response does not keep the others away for longer.
	private static final long RESPONSE_TIMEOUT_NANOS = 1_000_000_000L;

	private boolean active;

	private long endNanos;

	private int permits;

	private int responses;

	private long lastRequestNanos;

	/**
	 * Begins a pause, or extends the current one.
	 * @param pauseNanos its length in nanoseconds
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	void begin(long pauseNanos, long nowNanos) {
		long end = nowNanos + pauseNanos;
		this.endNanos = (this.active && this.endNanos - end > 0) ? this.endNanos : end;
		this.active = true;
		this.permits = 1;
		this.responses = 0;
		this.lastRequestNanos = this.endNanos;
	}

	/**
	 * Returns whether the server has paused and does not yet get all requests again.
	 * @return whether requests are held back or return step by step
	 */
	boolean isActive() {
		return this.active;
	}

	/**
	 * Returns when a request may be sent.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the time until then in nanoseconds, 0 for now
	 */
	long waitNanos(long nowNanos) {
		if (!this.active) {
			return 0;
		}
		if (this.endNanos - nowNanos > 0) {
			return this.endNanos - nowNanos;
		}
		return (this.permits > 0) ? 0 : Math.max(0, this.lastRequestNanos + RESPONSE_TIMEOUT_NANOS - nowNanos);
	}

	/**
	 * Records that a request is sent.
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	void recordRequest(long nowNanos) {
		if (this.active && this.endNanos - nowNanos <= 0) {
			this.permits = Math.max(0, this.permits - 1);
			this.lastRequestNanos = nowNanos;
		}
	}

	/** Records that a counted request was not sent. */
	void recordUnsent() {
		this.permits++;
	}

	/**
	 * Records a response that asks for no pause.
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	void recordResponse(long nowNanos) {
		// Responses to requests from before the pause arrive during it.
		if (this.active && this.endNanos - nowNanos <= 0) {
			this.permits += REQUESTS_PER_RESPONSE;
			this.responses++;
			this.active = this.responses < RESPONSES_TO_RECOVER;
		}
	}

}
