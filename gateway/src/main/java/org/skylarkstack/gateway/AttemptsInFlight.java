package org.skylarkstack.gateway;

import java.util.ArrayList;
import java.util.List;

/**
 * The attempts of one request that have no outcome yet: mostly one, and two while a
 * second attempt runs beside the first. Confined to one thread.
 */
final class AttemptsInFlight {

	private final List<Attempt> attempts = new ArrayList<>(2);

	/**
	 * Adds an attempt, which counts as in flight until it is closed.
	 * @param attempt the attempt
	 */
	void add(Attempt attempt) {
		this.attempts.removeIf((other) -> !other.isOpen());
		this.attempts.add(attempt);
	}

	/**
	 * Returns the number of attempts in flight.
	 * @return the number
	 */
	int count() {
		return (int) this.attempts.stream().filter(Attempt::isOpen).count();
	}

	/**
	 * Returns whether a server may be running the request.
	 * @return whether one of the attempts was sent and executes the request
	 */
	boolean mayBeRunning() {
		return this.attempts.stream().anyMatch(Attempt::mayBeRunning);
	}

	/** Cancels the calls of all attempts in flight and closes the attempts. */
	void abandon() {
		List.copyOf(this.attempts).stream().filter(Attempt::isOpen).forEach(Attempt::abandon);
		this.attempts.clear();
	}

}
