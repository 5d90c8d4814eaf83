package org.skylarkstack.kernel;

/**
 * States whether a request may have run on a backend server.
 */
public enum Verdict {

	/**
	 * No byte of the request can have reached a backend server, or the server said so.
	 */
	NOT_RUN("not-run") {
		@Override
		public boolean permitsRetry(boolean idempotent) {
			return true;
		}
	},

	/** The request may have run; its effect is unknown. */
	MAY_HAVE_RUN("may-have-run") {
		@Override
		public boolean permitsRetry(boolean idempotent) {
			return idempotent;
		}
	},

	/** The request ran. */
	RAN("ran") {
		@Override
		public boolean permitsRetry(boolean idempotent) {
			return false;
		}
	};

	private final String headerValue;

	Verdict(String headerValue) {
		this.headerValue = headerValue;
	}

	/**
	 * Returns whether another attempt is allowed after this verdict.
	 * @param idempotent whether the request may run more than once
	 * @return whether the request may be sent again
	 */
	public abstract boolean permitsRetry(boolean idempotent);

	/**
	 * Returns the verdict about two attempts together.
	 * @param other the verdict about the other attempt
	 * @return the one that claims more effect
	 */
	public Verdict stronger(Verdict other) {
		return (other.ordinal() > ordinal()) ? other : this;
	}

	/**
	 * Returns the value of the verdict header in answers.
	 * @return the header value
	 */
	public String headerValue() {
		return this.headerValue;
	}

}
