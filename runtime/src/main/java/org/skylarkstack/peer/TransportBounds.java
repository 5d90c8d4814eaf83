package org.skylarkstack.peer;

import java.time.Duration;

/**
 * Bounds of a transport.
 *
 * @param ringMessages the messages that wait for one peer
 * @param inboundBytesPerSecond the bytes accepted from one peer in a second
 * @param connectTimeout the bound for connecting and the handshake
 * @param probePeriod the time without messages after which a connection is probed
 * @param silenceTimeout the silence after which a connection is replaced
 * @param firstBackoff the first wait after a failed connection
 * @param longestBackoff the longest wait after failed connections
 */
public record TransportBounds(int ringMessages, long inboundBytesPerSecond, Duration connectTimeout,
		Duration probePeriod, Duration silenceTimeout, Duration firstBackoff, Duration longestBackoff) {

	/**
	 * Default bounds. A snapshot of the configuration takes several frames of 1 MiB, so
	 * that a peer may send 16 MiB a second.
	 */
	public static final TransportBounds DEFAULT = new TransportBounds(1024, 16L * 1024 * 1024, Duration.ofSeconds(1),
			Duration.ofSeconds(2), Duration.ofSeconds(5), Duration.ofMillis(50), Duration.ofSeconds(2));

	/**
	 * Returns the bounds for a fleet. Probes every 2 s on 349 links would take 16 KB/s,
	 * more than the whole control budget of a daemon, so that probes are rarer where
	 * heartbeats are.
	 * @param heartbeatPeriodNanos the heartbeat period in nanoseconds
	 * @return the bounds
	 */
	public static TransportBounds forPeriod(long heartbeatPeriodNanos) {
		Duration period = Duration.ofNanos(heartbeatPeriodNanos);
		return new TransportBounds(DEFAULT.ringMessages, DEFAULT.inboundBytesPerSecond, DEFAULT.connectTimeout,
				longer(DEFAULT.probePeriod, period.multipliedBy(2)),
				longer(DEFAULT.silenceTimeout, period.multipliedBy(5)), DEFAULT.firstBackoff, DEFAULT.longestBackoff);
	}

	private static Duration longer(Duration first, Duration second) {
		return (first.compareTo(second) >= 0) ? first : second;
	}

}
