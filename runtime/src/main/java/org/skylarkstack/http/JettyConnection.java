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

	JettyConnection(Context context) {
		this.request = ServletContextRequest.getServletContextRequest(context.req());
		this.endPoint = this.request.getConnectionMetaData().getConnection().getEndPoint();
		// Jetty's idle timeout is meant for reading requests. Processing may take longer,
		// so the timeout is ignored from here on.
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

	/**
	 * Closes the connection, so that the caller does not take a partial response for a
	 * complete one.
	 */
	void abort() {
		this.endPoint.close(new IOException("the response is incomplete"));
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
