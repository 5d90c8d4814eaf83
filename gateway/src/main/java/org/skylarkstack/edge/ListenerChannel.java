package org.skylarkstack.edge;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;

import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelMetadata;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.DefaultChannelConfig;
import io.netty.channel.ServerChannel;
import io.netty.channel.nio.AbstractNioMessageChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.jspecify.annotations.Nullable;

/**
 * Listening TCP socket.
 *
 * <p>
 * It differs from Netty's own listening channel in two ways. It does not read the
 * system's limit of the backlog, because processes on the users' platform were ended
 * while they read that file. And it accepts the connections that are waiting in the
 * backlog before it closes, which would be reset otherwise.
 */
public final class ListenerChannel extends AbstractNioMessageChannel implements ServerChannel {

	private static final int BACKLOG = 1_024;

	private static final int MAX_MESSAGES_PER_READ = 16;

	private static final ChannelMetadata METADATA = new ChannelMetadata(false, MAX_MESSAGES_PER_READ);

	private final ChannelConfig config = new DefaultChannelConfig(this);

	/** Creates a socket that is not bound. */
	public ListenerChannel() {
		super(null, open(), SelectionKey.OP_ACCEPT);
	}

	private static ServerSocketChannel open() {
		try {
			return ServerSocketChannel.open();
		}
		catch (IOException ex) {
			throw new io.netty.channel.ChannelException("the listening socket cannot be opened", ex);
		}
	}

	@Override
	protected ServerSocketChannel javaChannel() {
		return (ServerSocketChannel) super.javaChannel();
	}

	@Override
	public ChannelConfig config() {
		return this.config;
	}

	@Override
	public ChannelMetadata metadata() {
		return METADATA;
	}

	@Override
	public boolean isActive() {
		return isOpen() && javaChannel().socket().isBound();
	}

	@Override
	protected SocketAddress localAddress0() {
		return javaChannel().socket().getLocalSocketAddress();
	}

	@Override
	protected @Nullable SocketAddress remoteAddress0() {
		return null;
	}

	@Override
	protected void doBind(SocketAddress localAddress) throws IOException {
		javaChannel().socket().setReuseAddress(true);
		javaChannel().bind(localAddress, BACKLOG);
	}

	@Override
	protected void doClose() throws IOException {
		javaChannel().close();
	}

	@Override
	protected int doReadMessages(List<Object> accepted) throws IOException {
		SocketChannel socket = javaChannel().accept();
		if (socket == null) {
			return 0;
		}
		accepted.add(new NioSocketChannel(this, socket));
		return 1;
	}

	/**
	 * Accepts all connections that are waiting in the backlog. Must be called on the
	 * event loop.
	 */
	void acceptWaiting() {
		List<Object> accepted = new ArrayList<>();
		try {
			while (isOpen() && doReadMessages(accepted) > 0) {
				pipeline().fireChannelRead(accepted.remove(0));
			}
		}
		catch (IOException ex) {
			pipeline().fireExceptionCaught(ex);
		}
	}

	@Override
	protected boolean doConnect(SocketAddress remoteAddress, SocketAddress localAddress) {
		throw new UnsupportedOperationException("a listening socket does not connect");
	}

	@Override
	protected void doFinishConnect() {
		throw new UnsupportedOperationException("a listening socket does not connect");
	}

	@Override
	protected void doDisconnect() {
		throw new UnsupportedOperationException("a listening socket does not connect");
	}

	@Override
	protected boolean doWriteMessage(Object message, ChannelOutboundBuffer buffer) {
		throw new UnsupportedOperationException("a listening socket does not write");
	}

}
