package org.skylarkstack.gateway;

/**
 * Longest times that a stream may go without a complete event.
 *
 * <p>
 * An engine behind a network partition sends nothing, and its connection reports no
 * error. An engine in trouble may still send bytes that never complete an event. A
 * resumable stream therefore moves to another engine after a few gaps. A stream that
 * cannot move continues for as long as its caller waits, because the engine may only be
 * slow.
 *
 * @param moveMillis the time after which a stream moves if it can, in milliseconds; 0 if
 * it never can
 * @param endMillis the time after which the stream is ended, in milliseconds
 */
record StreamSilence(long moveMillis, long endMillis) {

	private static final int MOVE_GAPS = 5;

	// Callers disconnect after the longest of these times without an event.
	private static final long CALLER_WAIT_MILLIS = 2_000;

	private static final int CALLER_WAIT_TARGETS = 4;

	private static final int CALLER_WAIT_GAPS = 8;

	// Leaves the decision to a caller that is still waiting at the limit.
	private static final double MARGIN = 1.1;

	/**
	 * Returns the limits for the streams of a route.
	 * @param route the route
	 * @return the limits
	 */
	static StreamSilence of(ServiceRoute route) {
		long callerMillis = Math.max(CALLER_WAIT_MILLIS,
				Math.max(CALLER_WAIT_TARGETS * route.targetMillis(), CALLER_WAIT_GAPS * route.targetGapMillis()));
		return new StreamSilence(route.repeatable() ? MOVE_GAPS * route.targetGapMillis() : 0,
				(long) (MARGIN * callerMillis));
	}

	/**
	 * Returns the time from an event to the first decision.
	 * @return the time in milliseconds
	 */
	long firstMillis() {
		return (this.moveMillis > 0) ? Math.min(this.moveMillis, this.endMillis) : this.endMillis;
	}

	/**
	 * Decides how long a silent stream continues.
	 * @param silentMillis the time since its last complete event, in milliseconds
	 * @param canMove whether another engine could resume it now
	 * @return the time until the next decision in milliseconds, 0 to move or end it now
	 */
	long furtherMillis(long silentMillis, boolean canMove) {
		long remaining = this.endMillis - silentMillis;
		if (remaining <= 0 || (canMove && this.moveMillis > 0 && silentMillis >= this.moveMillis)) {
			return 0;
		}
		return (this.moveMillis > 0) ? Math.min(this.moveMillis, remaining) : remaining;
	}

}
