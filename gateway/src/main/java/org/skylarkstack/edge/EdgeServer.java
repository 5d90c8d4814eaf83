package org.skylarkstack.edge;

import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import org.jspecify.annotations.Nullable;

/**
 * HTTP server that accepts connections of callers and passes complete requests to a
 * handler. It keeps reading from a connection while a request is handled, so that it
 * detects immediately when the caller closes the connection. Confined to one event loop.
 */
public final class EdgeServer {

	private static final int MAX_REQUEST_LINE_BYTES = 8_192;

	private static final long SWEEP_MILLIS = 250;

	private final EventLoop loop;

	private final CallerHandler handler;

	private final Supplier<EdgeLimits> limits;

	private final RequestBodyBudget bodyBudget;

	private final Set<CallerConnection> connections = new LinkedHashSet<>();

	private @Nullable Channel listener;

	private boolean closing;

	/**
	 * Creates a server.
	 * @param loop the event loop that all its connections run on
	 * @param handler handles the requests
	 * @param limits supplies the current limits
	 * @param bodyBudget bounds the bodies of all requests together
	 */
	public EdgeServer(EventLoop loop, CallerHandler handler, Supplier<EdgeLimits> limits,
			RequestBodyBudget bodyBudget) {
		this.loop = loop;
		this.handler = handler;
		this.limits = limits;
		this.bodyBudget = bodyBudget;
	}

	/**
	 * Binds the listening socket and starts to accept connections.
	 * @param address the address to listen on
	 * @param acceptors the event loop group that accepts connections
	 */
	public void listen(InetSocketAddress address, EventLoopGroup acceptors) {
		this.listener = SocketBinder.bind(new ServerBootstrap().group(acceptors)
			.channel(ListenerChannel.class)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new Initializer()), address);
		this.loop.scheduleWithFixedDelay(this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Closes each connection after its next response. Responses that start from now on
	 * announce this with {@code Connection: close}.
	 */
	public void announceClose() {
		this.closing = true;
	}

	/**
	 * Stops accepting connections, and closes those on which no request is being received
	 * or handled. Connections that were established before are accepted first; those
	 * without a request are closed by a later call.
	 */
	public void closeIdle() {
		if (this.listener instanceof ListenerChannel open && open.isOpen()) {
			open.acceptWaiting();
			open.close();
			return;
		}
		List.copyOf(this.connections).forEach(CallerConnection::closeIfIdle);
	}

	/**
	 * Returns the number of open connections.
	 * @return the number, which includes connections whose last response is being sent
	 */
	public int openConnections() {
		return this.connections.size();
	}

	boolean isClosing() {
		return this.closing;
	}

	EdgeLimits currentLimits() {
		return this.limits.get();
	}

	RequestBodyBudget bodyBudget() {
		return this.bodyBudget;
	}

	CallerHandler handler() {
		return this.handler;
	}

	void add(CallerConnection connection) {
		this.connections.add(connection);
	}

	void remove(CallerConnection connection) {
		this.connections.remove(connection);
	}

	private void sweep() {
		long now = System.nanoTime();
		List.copyOf(this.connections).forEach((connection) -> connection.closeIfTimedOut(now));
	}

	private final class Initializer extends ChannelInitializer<SocketChannel> {

		@Override
		protected void initChannel(SocketChannel channel) {
			CallerConnection connection = new CallerConnection(EdgeServer.this);
			HttpDecoderConfig config = new HttpDecoderConfig().setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
				.setMaxHeaderSize(currentLimits().maxHeaderBytes());
			channel.pipeline().addLast(connection.firstByteRecorder(), new HttpServerCodec(config), connection);
		}

	}

}
