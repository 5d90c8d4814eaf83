package org.skylarkstack.gateway;

import java.util.LinkedHashSet;
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
	 * Returns how many exchanges are open.
	 * @return the number
	 */
	public int size() {
		return this.open.size();
	}

}
