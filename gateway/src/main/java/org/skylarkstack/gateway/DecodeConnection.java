package org.skylarkstack.gateway;

import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.edge.BackendCall;
import org.skylarkstack.edge.BackendClient;
import org.skylarkstack.edge.BackendRequest;
import org.skylarkstack.edge.PreparedConnection;

/**
 * Connection to the decode engine of a stream, which is opened before a prefill engine
 * processes the prompt. Confined to one thread.
 *
 * <p>
 * Prefill results live for some hundred milliseconds. When engines have crashed or a data
 * centre is cut off, a stream that finds this out after its prompt was processed loses
 * the result, at each daemon of the fleet anew.
 */
final class DecodeConnection {

	// A connection within a region is established within some milliseconds. The
	// lifetime of a prefill result does not permit to wait much longer than this.
	private static final int CONNECT_TIMEOUT_MILLIS = 120;

	// Servers may forget connections without a request after some hundred milliseconds. A
	// request that is sent on one afterwards may have run although it was reset.
	private static final long MAX_IDLE_NANOS = 200_000_000L;

	private final BackendClient client;

	private @Nullable PreparedConnection prepared;

	private @Nullable BackendState engine;

	private long openedNanos;

	DecodeConnection(BackendClient client) {
		this.client = client;
	}

	/**
	 * Opens a connection, and closes the one before it if that has not been used.
	 * @param target the engine
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @param done receives whether the connection was established, unless it has been
	 * taken or closed before
	 */
	void open(BackendState target, long nowNanos, Consumer<Boolean> done) {
		close();
		this.engine = target;
		this.openedNanos = nowNanos;
		this.prepared = this.client.prepare(target.node().address(), CONNECT_TIMEOUT_MILLIS, done);
	}

	/**
	 * Starts the call of an attempt at an engine, on the open connection if that leads to
	 * the engine and has not been idle for long, otherwise on a new one.
	 * @param request the encoded request
	 * @param attempt the attempt, which receives the response
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the call in progress
	 */
	BackendCall call(BackendRequest request, Attempt attempt, long nowNanos) {
		PreparedConnection current = this.prepared;
		if (current == null || attempt.server() != this.engine || current.hasFailed()
				|| nowNanos - this.openedNanos > MAX_IDLE_NANOS) {
			close();
			return this.client.call(request, attempt);
		}
		this.prepared = null;
		return this.client.call(request, attempt, current);
	}

	/** Closes the connection if it has not been taken. */
	void close() {
		PreparedConnection unused = this.prepared;
		if (unused != null) {
			unused.cancel();
			this.prepared = null;
		}
	}

}
