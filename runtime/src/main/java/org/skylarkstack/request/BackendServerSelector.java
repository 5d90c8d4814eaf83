package org.skylarkstack.request;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.skylarkstack.configuration.BackendServer;

/**
 * Picks backend servers of plain services. It never picks a leaving server, picks one
 * that failed in the last 5 s only if there is no other, and otherwise picks the one with
 * the fewest open requests of this VM. Thread-safe.
 */
public final class BackendServerSelector {

	private static final long QUARANTINE_NANOS = 5_000_000_000L;

	private final String dataCentre;

	private final Map<String, Integer> inFlight = new HashMap<>();

	private final Map<String, Long> quarantineEnds = new HashMap<>();

	/**
	 * Creates the selector.
	 * @param dataCentre the data centre of this VM; its servers are preferred among
	 * equally busy ones
	 */
	public BackendServerSelector(String dataCentre) {
		this.dataCentre = dataCentre;
	}

	/**
	 * Picks a server and counts a request on it, until the server is released.
	 * @param servers the servers of the service
	 * @param tried the URLs of the servers that failed for this request
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the server, to be released exactly once; empty if none is left
	 */
	public synchronized Optional<BackendServer> pick(List<BackendServer> servers, Set<String> tried, long nowNanos) {
		this.quarantineEnds.values().removeIf((end) -> nowNanos - end >= 0);
		Optional<BackendServer> best = servers.stream()
			.filter((server) -> !server.leaving() && !tried.contains(server.url()))
			.min(Comparator.comparing((BackendServer server) -> this.quarantineEnds.containsKey(server.url()))
				.thenComparing((server) -> this.inFlight.getOrDefault(server.url(), 0))
				.thenComparing((server) -> !server.dataCentre().equals(this.dataCentre))
				.thenComparing(BackendServer::url));
		best.ifPresent((server) -> this.inFlight.merge(server.url(), 1, Integer::sum));
		return best;
	}

	/**
	 * Releases a server after a request.
	 * @param server the server
	 * @param failed whether the server failed or stopped responding
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public synchronized void release(BackendServer server, boolean failed, long nowNanos) {
		this.inFlight.computeIfPresent(server.url(), (url, count) -> (count > 1) ? count - 1 : null);
		if (failed) {
			this.quarantineEnds.put(server.url(), nowNanos + QUARANTINE_NANOS);
		}
	}

	synchronized int inFlight(String url) {
		return this.inFlight.getOrDefault(url, 0);
	}

}
