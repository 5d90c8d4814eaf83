package org.skylarkstack.kernel;

/**
 * Statement about whether a request may have run on a backend server.
 */
public enum Verdict {

	/**
	 * No byte of the request can have reached a backend server, or the server stated that
	 * it did not run the request.
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
	 * @param idempotent whether the request may safely run more than once
	 * @return whether the request may be sent again
	 */
	public abstract boolean permitsRetry(boolean idempotent);

	/**
	 * Combines the verdicts about two attempts of the same request.
	 * @param other the verdict about the other attempt
	 * @return the one of the two that states more effect, in the order {@link #NOT_RUN},
	 * {@link #MAY_HAVE_RUN}, {@link #RAN}
	 */
	public Verdict combine(Verdict other) {
		return (other.ordinal() > ordinal()) ? other : this;
	}

	/**
	 * Returns the value of the response header that states the verdict.
	 * @return the header value
	 */
	public String headerValue() {
		return this.headerValue;
	}

}
