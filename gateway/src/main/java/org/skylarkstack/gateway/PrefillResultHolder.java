package org.skylarkstack.gateway;

import org.jspecify.annotations.Nullable;

/**
 * Result of a processed prompt that a prefill engine keeps for a stream, until a decode
 * engine takes it or it is released.
 */
final class PrefillResultHolder {

	// Part of the time for which an engine keeps a result in which it may be used.
	private static final double USABLE_SHARE = 0.7;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final long usableNanos;

	private CallPlan.@Nullable KvSource source;

	private long receivedNanos;

	/**
	 * Creates a holder without a result.
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
	 * Returns whether the engine may have dropped the result.
	 * @param nowNanos the present time
	 * @return whether there is a result that should not be used any more
	 */
	boolean isStale(long nowNanos) {
		return this.source != null && nowNanos - this.receivedNanos > this.usableNanos;
	}

	/**
	 * Forgets the result.
	 * @return the result, or {@code null} if there was none
	 */
	CallPlan.@Nullable KvSource remove() {
		CallPlan.KvSource result = this.source;
		this.source = null;
		return result;
	}

}
