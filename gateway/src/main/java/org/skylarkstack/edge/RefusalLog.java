package org.skylarkstack.edge;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs refusals, at most one line a second for each kind. Confined to one thread.
 */
final class RefusalLog {

	private static final Logger log = LoggerFactory.getLogger(RefusalLog.class);

	private static final long INTERVAL_NANOS = 1_000_000_000;

	private final long[] lastNanos = new long[RefusalKind.values().length];

	private final long[] omitted = new long[RefusalKind.values().length];

	/**
	 * Records a refusal.
	 * @param kind the reason
	 * @param port the port of the listener
	 * @param bytes the memory of the connection that is refused, in bytes
	 * @param totalBytes the memory of all connections together, in bytes
	 * @param nowNanos the present time, on the monotonic clock in nanoseconds
	 * @return whether a line has been logged
	 */
	boolean record(RefusalKind kind, int port, long bytes, long totalBytes, long nowNanos) {
		int index = kind.ordinal();
		long last = this.lastNanos[index];
		if (last != 0 && nowNanos - last < INTERVAL_NANOS) {
			this.omitted[index]++;
			return false;
		}
		log.atWarn()
			.addKeyValue("event", kind.event())
			.addKeyValue("port", port)
			.addKeyValue("bytes", bytes)
			.addKeyValue("reservedBytes", totalBytes)
			.addKeyValue("omitted", this.omitted[index])
			.log();
		this.omitted[index] = 0;
		this.lastNanos[index] = nowNanos;
		return true;
	}

}
