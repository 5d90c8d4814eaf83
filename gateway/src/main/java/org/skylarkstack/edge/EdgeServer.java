package org.skylarkstack.edge;

import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import org.jspecify.annotations.Nullable;

/**
 * HTTP server that accepts connections of callers and passes complete requests to a
 * handler. It keeps reading from a connection while a request is handled, so that it
 * detects immediately when the caller closes the connection. Confined to one event loop.
 */
public final class EdgeServer {

	private static final long SWEEP_MILLIS = 250;

	// Longer than a round trip to most callers.
	private static final long RECENT_MILLIS = 500;

	private static final int MIN_READ_BYTES = 64;

	private static final int FIRST_READ_BYTES = 2_048;

	// An incomplete line keeps the buffer that it was read into.
	private static final int MAX_READ_BYTES = 16 * 1024;

	private final EventLoop loop;

	private final CallerHandler handler;

	private final Supplier<EdgeLimits> limits;

	private final EdgeCapacity capacity;

	private final InputTurns inputTurns;

	private final RefusalLog refusals = new RefusalLog();

	private final Set<CallerConnection> connections = new LinkedHashSet<>();

	private @Nullable Channel listener;

	private boolean closing;

	/**
	 * Creates a server.
	 * @param loop the event loop that all its connections run on
	 * @param handler handles the requests
	 * @param limits supplies the current limits
	 * @param capacity the resources that its connections may use
	 */
	public EdgeServer(EventLoop loop, CallerHandler handler, Supplier<EdgeLimits> limits, EdgeCapacity capacity) {
		this.loop = loop;
		this.handler = handler;
		this.limits = limits;
		this.capacity = capacity;
		this.inputTurns = new InputTurns(loop);
	}

	/**
	 * Creates a server whose connections are bounded by the heap only.
	 * @param loop the event loop that all its connections run on
	 * @param handler handles the requests
	 * @param limits supplies the current limits
	 * @param bodyBudget bounds the bodies of all requests together
	 */
	public EdgeServer(EventLoop loop, CallerHandler handler, Supplier<EdgeLimits> limits,
			RequestBodyBudget bodyBudget) {
		this(loop, handler, limits, new EdgeCapacity(bodyBudget,
				ConnectionMemoryBudget.forHeap(Runtime.getRuntime().maxMemory()), Integer.MAX_VALUE));
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
			.childOption(ChannelOption.RECVBUF_ALLOCATOR,
					new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES))
			.childHandler(new Initializer()), address);
		this.loop.scheduleWithFixedDelay(this::sweep, SWEEP_MILLIS, SWEEP_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * Closes each connection after the responses to the requests that have been received
	 * on it. The last of these announces this with {@code Connection: close}.
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
		List.copyOf(this.connections).forEach(CallerConnection::closeIfNotInUse);
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

	EdgeCapacity capacity() {
		return this.capacity;
	}

	InputTurns inputTurns() {
		return this.inputTurns;
	}

	CallerHandler handler() {
		return this.handler;
	}

	// The new connection takes part in the choice if all others have requests in
	// progress. Connections that have been closed stay in the set until the end of the
	// turn of the event loop. Recent connections are preferred as little as those that
	// receive a request: callers that send slowly would otherwise displace new callers
	// before their first bytes arrive.
	void add(CallerConnection connection) {
		this.connections.add(connection);
		if (this.connections.size() > this.capacity.maxConnections()) {
			long recentNanos = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(RECENT_MILLIS);
			CallerConnection longestIdle = this.connections.stream()
				.filter((other) -> other != connection && other.channel().isActive() && !other.lifetime().isHandling())
				.min(Comparator.comparing(CallerConnection::lifetime,
						Comparator.comparing(ConnectionLifetime::isSendingLastBytes)
							.thenComparing((life) -> life.isReceiving() || life.idleSinceNanos() - recentNanos > 0)
							.thenComparingLong(ConnectionLifetime::idleSinceNanos)))
				.orElse(connection);
			refused(RefusalKind.CONNECTIONS, longestIdle.unreadBytes());
			longestIdle.close();
		}
	}

	void refused(RefusalKind kind, long bytes) {
		long total = (kind == RefusalKind.BODY) ? this.capacity.bodies().totalBytes()
				: this.capacity.memory().totalBytes();
		int port = (this.listener != null && this.listener.localAddress() instanceof InetSocketAddress address)
				? address.getPort() : 0;
		this.refusals.record(kind, port, bytes, total, System.nanoTime());
	}

	/**
	 * Closes connections whose callers do not read while the responses of all connections
	 * together occupy too much memory, the one that has read nothing for longest first.
	 * @param current the connection that has just received input or a response, which
	 * stays open
	 */
	void boundUnread(CallerConnection current) {
		ConnectionMemoryBudget memory = this.capacity.memory();
		if (!memory.unreadExceeded()) {
			return;
		}
		long now = System.nanoTime();
		List<CallerConnection> open = List.copyOf(this.connections);
		open.forEach((connection) -> connection.measureUnread(now));
		open.stream()
			.filter((connection) -> connection != current && connection.unreadBytes() > 0)
			.sorted(Comparator.comparingLong((connection) -> connection.lifetime().unreadSinceNanos()))
			.takeWhile((connection) -> memory.unreadExceeded())
			.forEach((connection) -> {
				refused(RefusalKind.UNREAD, connection.unreadBytes());
				connection.close();
				connection.measureUnread(now);
			});
	}

	void remove(CallerConnection connection) {
		this.connections.remove(connection);
	}

	private void sweep() {
		long now = System.nanoTime();
		List.copyOf(this.connections).forEach((connection) -> {
			connection.measureUnread(now);
			connection.closeIfTimedOut(now);
		});
	}

	private final class Initializer extends ChannelInitializer<SocketChannel> {

		@Override
		protected void initChannel(SocketChannel channel) {
			CallerConnection connection = new CallerConnection(EdgeServer.this);
			channel.pipeline().addLast(connection.decoder(), new CallerResponseEncoder(connection), connection);
		}

	}

}
