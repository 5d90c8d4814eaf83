package org.skylarkstack.gateway;

/**
 * Kinds of routes, which determine whether a request that may have run can be sent again.
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

	/**
	 * Responses are event streams. Requests may run more than once if their streams may
	 * be resumed.
	 */
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
