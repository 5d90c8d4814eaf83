package org.skylarkstack.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;

import io.javalin.http.Context;
import org.eclipse.jetty.ee10.servlet.ServletContextRequest;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;

/**
 * Connection of a caller in Jetty.
 *
 * <p>
 * Jetty does not read from a connection while a request is handled, so it sees a closed
 * connection only when it writes. This class reads in its place between the end of the
 * request body and the end of the handler. A byte that it gets belongs to a pipelined
 * request; the connection is then closed after the answer, and the caller has to send
 * that request again, as HTTP/1.1 provides for.
 */
final class JettyConnection implements CallerConnection, AutoCloseable {

	private final Request request;

	private final EndPoint endPoint;

	private boolean reading = true;

	private boolean pipelined;

	JettyConnection(Context context) {
		this.request = ServletContextRequest.getServletContextRequest(context.req());
		this.endPoint = this.request.getConnectionMetaData().getConnection().getEndPoint();
		// Jetty's idle bound is for reading requests; a request may wait longer than
		// that.
		this.request.addIdleTimeoutListener((timeout) -> false);
	}

	@Override
	public synchronized boolean gone() {
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

	/** Breaks the connection, so that the caller cannot take a part for the whole. */
	void abort() {
		this.endPoint.close(new IOException("the answer is incomplete"));
	}

	/** Stops reading before the answer ends. */
	@Override
	public synchronized void close() {
		this.reading = false;
		if (this.pipelined) {
			Request.addCompletionListener(this.request, (failure) -> this.endPoint.close());
		}
	}

}
