package org.skylarkstack.limit;

/**
 * Token bucket that never holds more than its burst.
 *
 * <p>
 * Invariant: in any window of t seconds at most rate x t + burst tokens are taken, net of
 * tokens put back. Not thread-safe.
 */
public final class TokenBucket {

	private static final double NANOS_PER_SECOND = 1e9;

	private final double tokensPerSecond;

	private final double burstTokens;

	private double level;

	private long updatedNanos;

	/**
	 * Creates a bucket.
	 * @param tokensPerSecond the rate in tokens per second
	 * @param burstTokens the burst in tokens
	 * @param level the tokens held at the start
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public TokenBucket(double tokensPerSecond, double burstTokens, double level, long nowNanos) {
		this.tokensPerSecond = tokensPerSecond;
		this.burstTokens = burstTokens;
		this.level = Math.min(level, burstTokens);
		this.updatedNanos = nowNanos;
	}

	/**
	 * Takes tokens if the bucket holds enough.
	 * @param tokens the tokens to take
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return whether the tokens were taken
	 */
	public boolean tryTake(double tokens, long nowNanos) {
		refill(nowNanos);
		if (tokens > this.level) {
			return false;
		}
		this.level -= tokens;
		return true;
	}

	/**
	 * Puts tokens back, up to the burst.
	 * @param tokens the tokens to put back
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public void putBack(double tokens, long nowNanos) {
		refill(nowNanos);
		this.level = Math.min(this.burstTokens, this.level + tokens);
	}

	/**
	 * Returns the number of tokens held.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the tokens, at most the burst
	 */
	public double level(long nowNanos) {
		refill(nowNanos);
		return this.level;
	}

	/**
	 * Returns how long it takes until the bucket holds an amount.
	 * @param tokens the amount; one above the burst counts as the burst
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the time in nanoseconds, 0 if it holds the amount now
	 */
	public long nanosUntil(double tokens, long nowNanos) {
		refill(nowNanos);
		double missing = Math.min(tokens, this.burstTokens) - this.level;
		return (missing <= 0) ? 0 : (long) Math.ceil(missing / this.tokensPerSecond * NANOS_PER_SECOND);
	}

	private void refill(long nowNanos) {
		long elapsed = nowNanos - this.updatedNanos;
		if (elapsed > 0) {
			this.level = Math.min(this.burstTokens, this.level + elapsed / NANOS_PER_SECOND * this.tokensPerSecond);
			this.updatedNanos = nowNanos;
		}
	}

}
