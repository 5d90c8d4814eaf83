package org.skylarkstack.peer;

import java.time.Duration;

/**
 * Limits and timeouts of a transport.
 *
 * @param ringMessages the maximum number of messages queued for one peer
 * @param inboundBytesPerSecond the maximum number of bytes accepted from one peer per
 * second
 * @param connectTimeout the timeout for connecting, including the handshake
 * @param probePeriod the time without messages after which a connection is probed
 * @param silenceTimeout the time without an acknowledgement after which a connection is
 * replaced
 * @param firstBackoff the backoff after the first failure of a connection
 * @param longestBackoff the maximum backoff after repeated failures
 */
public record TransportLimits(int ringMessages, long inboundBytesPerSecond, Duration connectTimeout,
		Duration probePeriod, Duration silenceTimeout, Duration firstBackoff, Duration longestBackoff) {

	/**
	 * Default limits. A peer may send 16 MiB per second, because a configuration snapshot
	 * takes several frames of up to 1 MiB.
	 */
	public static final TransportLimits DEFAULT = new TransportLimits(1024, 16L * 1024 * 1024, Duration.ofSeconds(1),
			Duration.ofSeconds(2), Duration.ofSeconds(5), Duration.ofMillis(50), Duration.ofSeconds(2));

	/**
	 * Returns the limits for a heartbeat period. Large fleets have a longer heartbeat
	 * period and therefore a longer probe period: probes every 2 s on 349 links would
	 * take 16 KB/s, more than the entire control-traffic budget of a daemon.
	 * @param heartbeatPeriodNanos the heartbeat period in nanoseconds
	 * @return the limits and timeouts
	 */
	public static TransportLimits forPeriod(long heartbeatPeriodNanos) {
		Duration period = Duration.ofNanos(heartbeatPeriodNanos);
		return new TransportLimits(DEFAULT.ringMessages, DEFAULT.inboundBytesPerSecond, DEFAULT.connectTimeout,
				longer(DEFAULT.probePeriod, period.multipliedBy(2)),
				longer(DEFAULT.silenceTimeout, period.multipliedBy(5)), DEFAULT.firstBackoff, DEFAULT.longestBackoff);
	}

	private static Duration longer(Duration first, Duration second) {
		return (first.compareTo(second) >= 0) ? first : second;
	}

}
