package org.skylarkstack.peer;

import java.time.Duration;

/**
 * Bounds of a transport.
 *
 * @param ringMessages the messages that wait for one peer
 * @param inboundBytesPerSecond the bytes accepted from one peer in a second
 * @param connectTimeout the bound for connecting and the handshake
 * @param probePeriod the time between two probes on a connection
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

}
