package org.skylarkstack.kernel;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * One-way switch that ends a request from another thread. Actions registered with it run
 * once when it is thrown, or at once if it was thrown before.
 */
public final class Cancellation {

	private final Set<Registration> registrations = new LinkedHashSet<>();

	private volatile @Nullable CancelReason reason;

	/**
	 * Ends the request. Only the first reason counts.
	 * @param why the reason
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
	 * Returns why the request ends.
	 * @return the reason, or {@code null} while the request may go on
	 */
	public @Nullable CancelReason reason() {
		return this.reason;
	}

	/**
	 * Throws if the request has to end.
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
	 * Registers an action.
	 * @param action runs on the cancelling thread, or now if the request is cancelled
	 * @return removes the action; after its close the action neither runs nor starts
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
	 * Registered action.
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
			// Waits for an action that runs now, so that it cannot hit a later step.
			synchronized (this) {
				this.closed = true;
			}
		}

	}

}
