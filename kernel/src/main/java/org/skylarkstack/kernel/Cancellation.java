package org.skylarkstack.kernel;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * Cancellation token of a request, which other threads use to end the request. It cannot
 * be reset. Registered actions run once, on cancellation, or immediately if the request
 * has already been cancelled.
 */
public final class Cancellation {

	private final Set<Registration> registrations = new LinkedHashSet<>();

	private volatile @Nullable CancelReason reason;

	/**
	 * Cancels the request. Calls after the first one have no effect.
	 * @param why the reason for the cancellation
	 * @return whether this call was the first
	 */
	public boolean cancel(CancelReason why) {
		List<Registration> due;
		synchronized (this) {
			if (this.reason != null) {
				return false;
			}
			this.reason = why;
			due = List.copyOf(this.registrations);
			this.registrations.clear();
		}
		due.forEach(Registration::run);
		return true;
	}

	/**
	 * Returns why the request was cancelled.
	 * @return the reason, or {@code null} if the request has not been cancelled
	 */
	public @Nullable CancelReason reason() {
		return this.reason;
	}

	/**
	 * Throws an exception if the request was cancelled.
	 * @param verdict whether the request may have run so far
	 * @throws RouterException if the request was cancelled
	 */
	public void check(Verdict verdict) {
		CancelReason why = this.reason;
		if (why != null) {
			throw why.failure(verdict);
		}
	}

	/**
	 * Registers an action that runs on cancellation.
	 * @param action runs on the thread that cancels the request, or immediately on this
	 * thread if the request has already been cancelled
	 * @return the registration; after it has been closed, the action is not running and
	 * does not start any more
	 */
	public Registration onCancel(Runnable action) {
		Registration registration = new Registration(action);
		synchronized (this) {
			if (this.reason == null) {
				this.registrations.add(registration);
				return registration;
			}
		}
		registration.run();
		return registration;
	}

	/**
	 * Registration of an action. Closing it removes the action.
	 */
	public final class Registration implements AutoCloseable {

		private final Runnable action;

		private boolean closed;

		private Registration(Runnable action) {
			this.action = action;
		}

		private synchronized void run() {
			if (!this.closed) {
				this.closed = true;
				this.action.run();
			}
		}

		@Override
		public void close() {
			synchronized (Cancellation.this) {
				Cancellation.this.registrations.remove(this);
			}
			// Waits for an action that is running, so that it cannot affect a later
			// step of the request.
			synchronized (this) {
				this.closed = true;
			}
		}

	}

}
