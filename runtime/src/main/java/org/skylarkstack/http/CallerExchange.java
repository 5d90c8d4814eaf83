package org.skylarkstack.http;

import org.skylarkstack.kernel.Cancellation;
import org.skylarkstack.request.OpenRequest;
import org.skylarkstack.request.OpenRequests;

/**
 * Open request of a caller. It is registered and watched for a disconnect until it is
 * closed.
 */
final class CallerExchange implements AutoCloseable {

	private final Cancellation cancellation;

	private final JettyConnection connection;

	private final CallerDisconnectMonitor.Watched watched;

	private final OpenRequests.Entry entry;

	CallerExchange(OpenRequests openRequests, CallerDisconnectMonitor disconnectMonitor, JettyConnection connection,
			OpenRequest request) {
		this.cancellation = request.cancellation();
		this.connection = connection;
		this.entry = openRequests.add(request);
		this.watched = disconnectMonitor.watch(connection, this.cancellation);
	}

	Cancellation cancellation() {
		return this.cancellation;
	}

	void checkBeforeStart() {
		this.entry.check();
	}

	@Override
	public void close() {
		this.watched.close();
		this.connection.close();
		this.entry.close();
	}

}
