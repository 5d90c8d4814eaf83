package org.skylarkstack.request;

import org.skylarkstack.engine.DecodeEvent;

/**
 * Position of the caller in its answer over all attempts.
 *
 * <p>
 * Invariant: the caller gets token 1, 2, 3 and so on, each once. A token that the caller
 * has is repeated by engines that resume too early; a token past the next one shows that
 * some were lost. Events without a token are matched by the token that they follow and by
 * their order.
 */
final class TokenCursor {

	private int delivered;

	/** Events without a token that the caller got after its last token. */
	private int deliveredExtras;

	private int attemptToken;

	private int attemptExtras;

	/**
	 * What to do with an event.
	 */
	enum Decision {

		/** The caller has it not yet. */
		DELIVER,

		/** The caller has it. */
		REPEATED,

		/** A token before it is missing. */
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
