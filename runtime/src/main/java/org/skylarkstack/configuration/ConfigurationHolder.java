package org.skylarkstack.configuration;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/**
 * Holds the current configuration of this process and the tickets that it applied last.
 */
public final class ConfigurationHolder {

	private final List<Consumer<Configuration>> listeners = new CopyOnWriteArrayList<>();

	private final RecentTickets recentTickets = new RecentTickets();

	private volatile Configuration current = Configuration.EMPTY;

	/**
	 * Returns the current configuration.
	 * @return the configuration
	 */
	public Configuration current() {
		return this.current;
	}

	RecentTickets recentTickets() {
		return this.recentTickets;
	}

	/**
	 * Replaces the configuration and notifies the listeners if it has changed.
	 * @param change computes the new configuration from the old one; may only merge into
	 * it
	 */
	public synchronized void update(UnaryOperator<Configuration> change) {
		Configuration next = change.apply(this.current);
		if (next != this.current) {
			this.current = next;
			this.listeners.forEach((listener) -> listener.accept(next));
		}
	}

	/**
	 * Adds a listener that is called after each change, on the thread that made the
	 * change.
	 * @param listener the listener
	 */
	public void onChange(Consumer<Configuration> listener) {
		this.listeners.add(listener);
	}

}
