package org.skylarkstack.gateway;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The exchanges that have not ended yet. Confined to one thread.
 */
public final class OpenExchanges {

	private final Set<Exchange> open = new LinkedHashSet<>();

	void add(Exchange exchange) {
		this.open.add(exchange);
	}

	void remove(Exchange exchange) {
		this.open.remove(exchange);
	}

	/**
	 * Logs each open exchange, before the daemon stops and ends them.
	 * @param stopNanos when the stop was requested, as monotonic time in nanoseconds
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void logOpen(long stopNanos, long nowNanos) {
		this.open.forEach((exchange) -> ExchangeLog.open(exchange, stopNanos, nowNanos));
	}

	/** Ends each open exchange with its verdict because the daemon stops. */
	public void endAll() {
		List.copyOf(this.open).forEach(Exchange::endForStop);
	}

	/**
	 * Returns how many exchanges are open.
	 * @return the number
	 */
	public int size() {
		return this.open.size();
	}

}
