package org.skylarkstack.gateway;

import org.jspecify.annotations.Nullable;

/**
 * Holds the reference to the prefill result that a prefill engine keeps for a stream,
 * until a decode engine fetches the result or it is released.
 */
final class PrefillResultHolder {

	// Share of its lifetime during which a result is used.
	private static final double USABLE_SHARE = 0.7;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final long usableNanos;

	private CallPlan.@Nullable KvSource source;

	private long receivedNanos;

	/**
	 * Creates an empty holder.
	 * @param lifetimeMillis how long an engine keeps a result, in milliseconds
	 */
	PrefillResultHolder(long lifetimeMillis) {
		this.usableNanos = (long) (USABLE_SHARE * lifetimeMillis * NANOS_PER_MILLI);
	}

	void set(CallPlan.KvSource result, long nowNanos) {
		this.source = result;
		this.receivedNanos = nowNanos;
	}

	CallPlan.@Nullable KvSource source() {
		return this.source;
	}

	/**
	 * Returns whether the result is so old that the engine may have dropped it.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return whether there is a result and it should no longer be used
	 */
	boolean isStale(long nowNanos) {
		return this.source != null && nowNanos - this.receivedNanos > this.usableNanos;
	}

	/**
	 * Removes the result.
	 * @return the result, or {@code null} if there was none
	 */
	CallPlan.@Nullable KvSource remove() {
		CallPlan.KvSource result = this.source;
		this.source = null;
		return result;
	}

}
