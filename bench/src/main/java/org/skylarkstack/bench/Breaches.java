package org.skylarkstack.bench;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Counts of violations of the invariants that are observable from outside. Each must be
 * 0.
 *
 * @param answeredTwice responses with an event after their end marker
 * @param wrongWhole responses with an end marker that are truncated or belong to another
 * request
 * @param ranTwice non-idempotent requests that took effect more than once
 * @param notRunButRan requests reported as not run although a backend server ran a part
 * of them
 * @param heldAfterEnd requests for which an engine still holds memory after the end of
 * the run
 * @param tokensOverLimit tokens above rate x t + burst, over all teams
 * @param keysSeen requests at backend servers that carried a caller's key
 * @param entriesLost non-idempotent requests that were reported as successful and took no
 * effect
 */
public record Breaches(long answeredTwice, long wrongWhole, long ranTwice, long notRunButRan, long heldAfterEnd,
		long tokensOverLimit, long keysSeen, long entriesLost) {

	/**
	 * Returns the sum of all counts.
	 * @return the sum, which must be 0
	 */
	public long total() {
		return byName().values().stream().mapToLong(Long::longValue).sum();
	}

	Map<String, Long> byName() {
		Map<String, Long> breaches = new LinkedHashMap<>();
		breaches.put("answered twice", this.answeredTwice);
		breaches.put("looks whole and is not", this.wrongWhole);
		breaches.put("non-idempotent ran twice", this.ranTwice);
		breaches.put("'not run' that ran", this.notRunButRan);
		breaches.put("memory held after the end", this.heldAfterEnd);
		breaches.put("tokens over the limit", this.tokensOverLimit);
		breaches.put("callers' keys seen", this.keysSeen);
		breaches.put("entries lost", this.entriesLost);
		return breaches;
	}

}
