package org.skylarkstack.edge;

import java.net.InetSocketAddress;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;

/**
 * Calls backend servers, each call on a connection of its own.
 *
 * <p>
 * A fresh connection cannot deliver a late answer of an earlier call, cannot have gone
 * silent or been closed while it was idle, and tells exactly whether a byte was sent.
 */
public final class BackendCaller {

	private static final int MAX_HEADER_BYTES = 32 * 1024;

	private final EventLoop loop;

	private final int connectTimeoutMillis;

	/**
	 * Creates a caller.
	 * @param loop the event loop that all calls run on
	 * @param connectTimeoutMillis the bound for connecting in milliseconds
	 */
	public BackendCaller(EventLoop loop, int connectTimeoutMillis) {
		this.loop = loop;
		this.connectTimeoutMillis = connectTimeoutMillis;
	}

	/**
	 * Starts a call.
	 * @param request the request
	 * @param listener learns what comes of it
	 * @return the call
	 */
	public BackendCall call(BackendRequest request, BackendListener listener) {
		BackendConnection connection = new BackendConnection(request, listener);
		ChannelFuture connecting = new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, this.connectTimeoutMillis)
			.handler(new Initializer(connection))
			.connect(request.address());
		connection.attach(connecting.channel());
		connecting.addListener((future) -> {
			if (!future.isSuccess()) {
				connection.unreachable();
			}
		});
		return connection;
	}

	/**
	 * Finds out whether a server takes new connections.
	 * @param address the server's address
	 * @param done takes the finding
	 */
	public void probe(InetSocketAddress address, Consumer<Boolean> done) {
		new Bootstrap().group(this.loop)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, this.connectTimeoutMillis)
			.handler(new ChannelInboundHandlerAdapter())
			.connect(address)
			.addListener((ChannelFuture future) -> {
				done.accept(future.isSuccess());
				future.channel().close();
			});
	}

	private static final class Initializer extends ChannelInitializer<Channel> {

		private final BackendConnection connection;

		Initializer(BackendConnection connection) {
			this.connection = connection;
		}

		@Override
		protected void initChannel(Channel channel) {
			HttpDecoderConfig config = new HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES);
			channel.pipeline().addLast(new HttpClientCodec(config, false, false), this.connection);
		}

	}

}
