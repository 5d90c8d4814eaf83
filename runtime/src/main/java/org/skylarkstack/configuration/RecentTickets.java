package org.skylarkstack.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/**
 * In-memory cache of the bodies of the most recent tickets, for peers that lack only a
 * few.
 */
final class RecentTickets {

	/** Maximum total length of the cached bodies in characters. */
	static final long MAX_CHARACTERS = 4L * 1024 * 1024;

	private final TreeMap<Long, String> bodies = new TreeMap<>();

	private long characters;

	void add(long number, String body) {
		String previous = this.bodies.put(number, body);
		this.characters += body.length() - ((previous != null) ? previous.length() : 0);
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
	Optional<List<String>> after(long number, long lastNumber, long maxCharacters) {
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

}
