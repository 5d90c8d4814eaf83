package org.skylarkstack.limit;

/**
 * Outcome of one attempt to reserve tokens.
 *
 * @param kind whether the tokens are reserved, requested or refused
 * @param requestId the number of the request to the owner whose response is awaited, else
 * 0
 * @param waitNanos the time in nanoseconds after which another attempt may succeed if the
 * tokens were neither reserved nor requested, else 0
 */
public record ReserveOutcome(Kind kind, long requestId, long waitNanos) {

	static final ReserveOutcome RESERVED = new ReserveOutcome(Kind.RESERVED, 0, 0);

	static ReserveOutcome asked(long requestId) {
		return new ReserveOutcome(Kind.ASKED, requestId, 0);
	}

	static ReserveOutcome refused(long waitNanos) {
		return new ReserveOutcome(Kind.REFUSED, 0, waitNanos);
	}

	static ReserveOutcome undecided(long waitNanos) {
		return new ReserveOutcome(Kind.UNDECIDED, 0, waitNanos);
	}

	/** Kind of an outcome. */
	public enum Kind {

		/** The tokens are reserved. */
		RESERVED,

		/** The missing tokens were requested from the owner. */
		ASKED,

		/** The team has used its tokens. */
		REFUSED,

		/**
		 * There are not enough tokens here, and it is unknown whether the team has used
		 * them: a loan has not arrived, or the owner does not respond.
		 */
		UNDECIDED

	}

}
