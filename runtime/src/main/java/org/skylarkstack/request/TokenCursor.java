package org.skylarkstack.request;

import org.skylarkstack.engine.DecodeEvent;

/**
 * Tracks which events of the response the caller already has, across all attempts.
 *
 * <p>
 * Invariant: the caller gets tokens 1, 2, 3 and so on, each exactly once. Engines that
 * resume too early repeat tokens that the caller has; a token after the next expected one
 * shows that tokens were lost. Events without a token are identified by the token that
 * they follow and by their order.
 */
final class TokenCursor {

	private int delivered;

	/** Number of events without a token that the caller got after its last token. */
	private int deliveredExtras;

	private int attemptToken;

	private int attemptExtras;

	/**
	 * How to handle an event.
	 */
	enum Decision {

		/** The caller does not have the event yet. */
		DELIVER,

		/** The caller already has the event. */
		REPEATED,

		/** A token before this event is missing. */
		GAP

	}

	int delivered() {
		return this.delivered;
	}

	void startAttempt() {
		this.attemptToken = this.delivered;
		this.attemptExtras = 0;
	}

	Decision accept(DecodeEvent event) {
		return (event.tokenOffset() > 0) ? acceptToken(event.tokenOffset()) : acceptExtra();
	}

	private Decision acceptToken(int offset) {
		if (offset > this.delivered + 1) {
			return Decision.GAP;
		}
		this.attemptToken = offset;
		this.attemptExtras = 0;
		if (offset <= this.delivered) {
			return Decision.REPEATED;
		}
		this.delivered = offset;
		this.deliveredExtras = 0;
		return Decision.DELIVER;
	}

	private Decision acceptExtra() {
		this.attemptExtras++;
		if (this.attemptToken < this.delivered || this.attemptExtras <= this.deliveredExtras) {
			return Decision.REPEATED;
		}
		this.deliveredExtras = this.attemptExtras;
		return Decision.DELIVER;
	}

}
