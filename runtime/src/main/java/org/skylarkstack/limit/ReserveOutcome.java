package org.skylarkstack.limit;

/**
 * Outcome of one attempt to reserve tokens.
 *
 * @param kind whether the tokens are reserved, requested or refused
 * @param requestId the number of the request to the owner whose response is awaited, else
 * 0
 * @param waitNanos the time in nanoseconds after which another attempt may succeed if the
 * tokens were refused, else 0
 */
public record ReserveOutcome(Kind kind, long requestId, long waitNanos) {

	static final ReserveOutcome RESERVED = new ReserveOutcome(Kind.RESERVED, 0, 0);

	static ReserveOutcome asked(long requestId) {
		return new ReserveOutcome(Kind.ASKED, requestId, 0);
	}

	static ReserveOutcome refused(long waitNanos) {
		return new ReserveOutcome(Kind.REFUSED, 0, waitNanos);
	}

	/** Kind of an outcome. */
	public enum Kind {

		/** The tokens are reserved. */
		RESERVED,

		/** The missing tokens were requested from the owner. */
		ASKED,

		/** There are not enough tokens. */
		REFUSED

	}

}
