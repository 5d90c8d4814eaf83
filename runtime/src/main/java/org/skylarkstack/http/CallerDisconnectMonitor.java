package org.skylarkstack.http;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import org.skylarkstack.kernel.CancelReason;
import org.skylarkstack.kernel.Cancellation;

/**
 * Detects callers that disconnect while no data is written to them, and cancels their
 * requests.
 */
public final class CallerDisconnectMonitor {

	/**
	 * Period between two checks. A check costs one system call for each open request.
	 */
	public static final long PERIOD_MILLIS = 250;

	private final Set<Watched> watched = ConcurrentHashMap.newKeySet();

	/**
	 * Checks all registered connections once. Call it every {@link #PERIOD_MILLIS}.
	 */
	public void check() {
		for (Watched entry : this.watched) {
			if (entry.connection.isDisconnected()) {
				entry.cancellation.cancel(CancelReason.CALLER_GONE);
			}
		}
	}

	Watched watch(CallerConnection connection, Cancellation cancellation) {
		Watched entry = new Watched(connection, cancellation);
		this.watched.add(entry);
		return entry;
	}

	int size() {
		return this.watched.size();
	}

	/**
	 * Registration of a connection; closing it ends the checks.
	 */
	final class Watched implements AutoCloseable {

		private final CallerConnection connection;

		private final Cancellation cancellation;

		private Watched(CallerConnection connection, Cancellation cancellation) {
			this.connection = connection;
			this.cancellation = cancellation;
		}

		@Override
		public void close() {
			CallerDisconnectMonitor.this.watched.remove(this);
		}

	}

}
