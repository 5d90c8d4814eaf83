package org.skylarkstack.limit;

/**
 * Outcome of one try to reserve tokens.
 *
 * @param kind what happened
 * @param requestId the request that was sent to the owner, if its answer is awaited
 * @param waitNanos how long to wait before another try makes sense, if refused
 */
public record ReserveOutcome(Kind kind, long requestId, long waitNanos) {

	static final ReserveOutcome RESERVED = new ReserveOutcome(Kind.RESERVED, 0, 0);

	static ReserveOutcome asked(long requestId) {
		return new ReserveOutcome(Kind.ASKED, requestId, 0);
	}

	static ReserveOutcome refused(long waitNanos) {
		return new ReserveOutcome(Kind.REFUSED, 0, waitNanos);
	}

	/** What happened. */
	public enum Kind {

		/** The tokens are reserved. */
		RESERVED,

		/** The owner was asked for the missing tokens. */
		ASKED,

		/** There are not enough tokens. */
		REFUSED

	}

}
