package org.skylarkstack.request;

import org.skylarkstack.engine.PrefillResult;

/**
 * Result of a prefill that an engine keeps for a short time.
 *
 * @param engineId the engine
 * @param attemptId the attempt that ran the prefill
 * @param result the result
 * @param endNanos the monotonic time at which the prefill ended
 */
record HeldPrefill(String engineId, String attemptId, PrefillResult result, long endNanos) {

	// Results live for less than a second; a decode needs some of that for its transfer.
	private static final long REUSE_NANOS = 600_000_000L;

	boolean reusable(long nowNanos) {
		return nowNanos - this.endNanos < REUSE_NANOS;
	}

}
