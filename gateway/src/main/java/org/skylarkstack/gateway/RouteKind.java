package org.skylarkstack.gateway;

/**
 * Whether requests of a route may be sent again after they may have run.
 */
public enum RouteKind {

	/** Requests may run more than once. */
	IDEMPOTENT {
		@Override
		public boolean repeatable(boolean resumable) {
			return true;
		}
	},

	/** Requests run at most once. */
	NON_IDEMPOTENT {
		@Override
		public boolean repeatable(boolean resumable) {
			return false;
		}
	},

	/** Answers are event streams, repeatable only if they may be resumed. */
	STREAM {
		@Override
		public boolean repeatable(boolean resumable) {
			return resumable;
		}
	};

	/**
	 * Returns whether a request may be sent again after it may have run.
	 * @param resumable whether the route's streams may be resumed
	 * @return whether it may be repeated
	 */
	public abstract boolean repeatable(boolean resumable);

}
