package org.skylarkstack.request;

import org.skylarkstack.engine.PrefillResult;

/**
 * Prefill result that an engine holds for a short time.
 *
 * @param engineId the engine that holds the result
 * @param attemptId the id of the attempt that ran the prefill
 * @param result the result
 * @param endNanos the monotonic time at which the prefill ended, in nanoseconds
 */
record HeldPrefill(String engineId, String attemptId, PrefillResult result, long endNanos) {

	// Engines hold a result for less than 1 s, and the decode needs part of that time for
	// the transfer.
	private static final long REUSE_NANOS = 600_000_000L;

	boolean reusable(long nowNanos) {
		return nowNanos - this.endNanos < REUSE_NANOS;
	}

}
