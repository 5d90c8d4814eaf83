package org.skylarkstack.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;

import io.javalin.http.Context;
import org.eclipse.jetty.ee10.servlet.ServletContextRequest;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;

/**
 * Connection of a caller on the Jetty server.
 *
 * <p>
 * Jetty does not read from a connection while a request is handled, so it detects a
 * closed connection only when it writes. This class therefore reads from the socket
 * itself between the end of the request body and the end of the handler. A byte that it
 * reads belongs to a pipelined request and is lost to Jetty. The connection is then
 * closed after the response, and the caller has to send the pipelined request again, as
 * HTTP/1.1 provides.
 */
final class JettyConnection implements CallerConnection, AutoCloseable {

	private final Request request;

	private final EndPoint endPoint;

	private boolean reading = true;

	private boolean pipelined;

	/**
	 * Begins the processing of a request whose body has been received.
	 * @param context the request and response of the caller
	 * @param unreadTimeoutMillis the timeout for sending a response of which the caller
	 * reads nothing, in milliseconds
	 */
	JettyConnection(Context context, long unreadTimeoutMillis) {
		this.request = ServletContextRequest.getServletContextRequest(context.req());
		this.endPoint = endPoint(this.request);
		// Jetty fails a write after its idle timeout, which is that for reading requests
		// until here. It ignores the timeout while nothing is written, because processing
		// may take longer, and restores the former one after the response.
		this.endPoint.setIdleTimeout(unreadTimeoutMillis);
		this.request.addIdleTimeoutListener((timeout) -> false);
	}

	@Override
	public synchronized boolean isDisconnected() {
		if (!this.reading) {
			return false;
		}
		if (!this.endPoint.isOpen()) {
			return true;
		}
		if (!(this.endPoint.getTransport() instanceof SocketChannel channel) || channel.isBlocking()) {
			return false;
		}
		try {
			int count = channel.read(ByteBuffer.allocate(1));
			if (count > 0) {
				this.reading = false;
				this.pipelined = true;
			}
			return count < 0;
		}
		catch (IOException ex) {
			return true;
		}
	}

	private static EndPoint endPoint(Request request) {
		return request.getConnectionMetaData().getConnection().getEndPoint();
	}

	/**
	 * Closes the connection, so that the caller does not take a partial response for a
	 * complete one.
	 */
	void abort() {
		abort(this.endPoint);
	}

	/**
	 * Closes the connection of a request like {@link #abort()}.
	 * @param context the request and response of the caller
	 */
	static void abort(Context context) {
		abort(endPoint(ServletContextRequest.getServletContextRequest(context.req())));
	}

	private static void abort(EndPoint endPoint) {
		endPoint.close(new IOException("the response is incomplete"));
	}

	/**
	 * Stops reading from the socket. If a pipelined request was read, the connection is
	 * closed after the response.
	 */
	@Override
	public synchronized void close() {
		this.reading = false;
		if (this.pipelined) {
			Request.addCompletionListener(this.request, (failure) -> this.endPoint.close());
		}
	}

}
