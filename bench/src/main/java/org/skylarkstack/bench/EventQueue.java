package org.skylarkstack.bench;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Queue of simulation events ordered by time, then by insertion.
 */
final class EventQueue {

	private final PriorityQueue<Event> events = new PriorityQueue<>(
			Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));

	private long sequence;

	private long nowNanos;

	long nowNanos() {
		return this.nowNanos;
	}

	void at(long nanos, Runnable action) {
		this.events.add(new Event(Math.max(nanos, this.nowNanos), this.sequence++, action));
	}

	void after(long nanos, Runnable action) {
		at(this.nowNanos + nanos, action);
	}

	void runUntil(long endNanos) {
		for (Event next = this.events.peek(); next != null && next.atNanos() <= endNanos; next = this.events.peek()) {
			this.events.poll();
			this.nowNanos = next.atNanos();
			next.action().run();
		}
		this.nowNanos = endNanos;
	}

	private record Event(long atNanos, long sequence, Runnable action) {

	}

}
