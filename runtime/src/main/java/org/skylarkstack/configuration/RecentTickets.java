package org.skylarkstack.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;

/**
 * In-memory cache of the bodies of the most recent tickets that this daemon has applied,
 * for peers and for a store that lack only a few. Thread-safe.
 */
final class RecentTickets {

	/** Maximum total length of the cached bodies in characters. */
	static final long MAX_CHARACTERS = 4L * 1024 * 1024;

	private final TreeMap<Long, String> bodies = new TreeMap<>();

	private long characters;

	/**
	 * Adds a ticket, unless one with the same number was added before.
	 * @param number the number
	 * @param body the ticket in JSON
	 */
	synchronized void add(long number, String body) {
		if (this.bodies.putIfAbsent(number, body) == null) {
			this.characters += body.length();
		}
		while (this.characters > MAX_CHARACTERS) {
			this.characters -= this.bodies.pollFirstEntry().getValue().length();
		}
	}

	/**
	 * Returns consecutive tickets after a number.
	 * @param number the number that precedes the first ticket to return
	 * @param lastNumber the number of the last ticket to return
	 * @param maxCharacters the maximum total length of the returned bodies; the first one
	 * is returned even if it is longer
	 * @return the bodies in ascending order up to that length, or empty if one of them is
	 * not cached
	 */
	synchronized Optional<List<String>> after(long number, long lastNumber, long maxCharacters) {
		List<String> found = new ArrayList<>();
		long size = 0;
		for (long next = number + 1; next <= lastNumber; next++) {
			String body = this.bodies.get(next);
			if (body == null) {
				return Optional.empty();
			}
			size += body.length();
			if (size > maxCharacters && !found.isEmpty()) {
				break;
			}
			found.add(body);
		}
		return Optional.of(found);
	}

	synchronized @Nullable String body(long number) {
		return this.bodies.get(number);
	}

	/**
	 * Returns the first of the consecutive cached tickets up to a number.
	 * @param lastNumber the number of the last ticket
	 * @param maxTickets the maximum number of tickets
	 * @param maxCharacters the maximum total length of the bodies; the last one counts
	 * even if it is longer
	 * @return the number of the first ticket, or one more than the last number if that
	 * ticket is not cached
	 */
	synchronized long firstWithin(long lastNumber, int maxTickets, long maxCharacters) {
		long first = lastNumber + 1;
		long size = 0;
		while (first > Math.max(1, lastNumber + 1 - maxTickets)) {
			String body = this.bodies.get(first - 1);
			size += (body != null) ? body.length() : 0;
			if (body == null || (size > maxCharacters && first <= lastNumber)) {
				break;
			}
			first--;
		}
		return first;
	}

}
