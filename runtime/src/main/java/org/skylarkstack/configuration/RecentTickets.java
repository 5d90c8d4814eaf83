package org.skylarkstack.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Bodies of the last tickets, kept for peers that are a little behind.
 */
final class RecentTickets {

	/** Bound of the kept bodies in characters. */
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
	 * Returns the tickets after a number.
	 * @param number the number
	 * @param lastNumber the last ticket to return
	 * @param maxCharacters the bound of all returned bodies but the first
	 * @return the first tickets in order, or empty if one of them is not kept
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
