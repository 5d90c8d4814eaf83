package org.skylarkstack.edge;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * HTTP client that calls backend servers and opens a new connection for each call.
 *
 * <p>
 * A new connection cannot deliver a late response to an earlier call, cannot have become
 * unresponsive or been closed while it was idle, and shows exactly whether a byte of the
 * request was sent.
 */
public final class BackendClient {

	private final EventLoop loop;

	private final int connectTimeoutMillis;

	/**
	 * Creates a client.
	 * @param loop the event loop that all calls run on
	 * @param connectTimeoutMillis the timeout for establishing a connection, in
	 * milliseconds
	 */
	public BackendClient(EventLoop loop, int connectTimeoutMillis) {
		this.loop = loop;
		this.connectTimeoutMillis = connectTimeoutMillis;
	}

	/**
	 * Starts a call.
	 * @param request the request to send
	 * @param listener receives the response or the failure, on the event loop
	 * @return the call in progress
	 */
	public BackendCall call(BackendRequest request, BackendListener listener) {
		return start(connect(request.address()), request, listener);
	}

	/**
	 * Opens a connection for a call that follows shortly.
	 * @param address the server's address
	 * @param timeoutMillis the timeout for establishing the connection, in milliseconds
	 * @param done receives, on the event loop, whether the connection was established;
	 * not called after the call has been started or the connection has been cancelled
	 * @return the connection, for a single call
	 */
	public PreparedConnection prepare(InetSocketAddress address, int timeoutMillis, Consumer<Boolean> done) {
		return connect(address, timeoutMillis, done);
	}

	/**
	 * Starts a call on a prepared connection, which may still be being established.
	 * @param request the request to send
	 * @param listener receives the response or the failure, on the event loop
	 * @param prepared a connection to the server of the request, which no other call uses
	 * @return the call in progress
	 */
	public BackendCall call(BackendRequest request, BackendListener listener, PreparedConnection prepared) {
		if (!(prepared instanceof BackendConnection connection)) {
			throw new IllegalArgumentException("not a connection of this client");
		}
		return start(connection, request, listener);
	}

	private static BackendConnection start(BackendConnection connection, BackendRequest request,
			BackendListener listener) {
		connection.start(request, listener);
		return connection;
	}

	private BackendConnection connect(InetSocketAddress address) {
		return connect(address, this.connectTimeoutMillis, (established) -> {
		});
	}

	private BackendConnection connect(InetSocketAddress address, int timeoutMillis, Consumer<Boolean> done) {
		BackendConnection connection = new BackendConnection(this.loop, done);
		ChannelFuture connecting = new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			// Without this option, the end of the server's output cannot be told from
			// other reasons for which the connection closes.
			.option(ChannelOption.ALLOW_HALF_CLOSURE, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
			.handler(new Initializer(connection))
			.connect(address);
		connection.attach(connecting.channel());
		connecting.addListener((future) -> {
			if (!future.isSuccess()) {
				runOnLoop(connection::connectFailed);
			}
		});
		return connection;
	}

	// Without a free descriptor no channel is created, and its failure is reported by
	// another thread.
	private void runOnLoop(Runnable action) {
		if (this.loop.inEventLoop()) {
			action.run();
		}
		else {
			this.loop.execute(action);
		}
	}

	/**
	 * Starts a call that fails with {@link BackendFailure.Kind#SILENT} unless its
	 * response is complete within a timeout.
	 * @param request the request to send
	 * @param listener receives the response or the failure, on the event loop
	 * @param timeoutMillis the timeout in milliseconds
	 */
	public void call(BackendRequest request, BackendListener listener, long timeoutMillis) {
		BackendConnection connection = start(connect(request.address()), request, listener);
		this.loop.schedule(connection::expire, timeoutMillis, TimeUnit.MILLISECONDS);
	}

	/**
	 * Checks whether a server accepts new connections, by opening one and closing it.
	 * @param address the server's address
	 * @param done receives whether a connection was established, on the event loop; also
	 * {@code true} if this process could not open one
	 */
	public void probe(InetSocketAddress address, Consumer<Boolean> done) {
		new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, this.connectTimeoutMillis)
			.handler(new ChannelInboundHandlerAdapter())
			.connect(address)
			.addListener((ChannelFuture future) -> {
				boolean attempted = future.channel().isRegistered() || future.cause() instanceof ConnectException;
				runOnLoop(() -> done.accept(future.isSuccess() || !attempted));
				if (future.isSuccess()) {
					future.channel().close();
				}
			});
	}

	private static final class Initializer extends ChannelInitializer<Channel> {

		private final BackendConnection connection;

		Initializer(BackendConnection connection) {
			this.connection = connection;
		}

		@Override
		protected void initChannel(Channel channel) {
			channel.pipeline()
				.addLast(this.connection.inputGuard(), new BackendResponseDecoder(this.connection::isHead),
						new BackendRequestEncoder(), this.connection);
		}

	}

}
