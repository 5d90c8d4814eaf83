package org.skylarkstack.edge;

import java.net.SocketAddress;

import io.netty.bootstrap.AbstractBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;

/**
 * Binds sockets and reports a failed bind as a {@link RouterException}. Netty itself
 * rethrows the cause of the failure, a checked exception that its methods do not declare.
 */
public final class SocketBinder {

	private SocketBinder() {
	}

	/**
	 * Binds a socket and waits until the bind has completed.
	 * @param bootstrap the configuration of the socket
	 * @param address the address to bind to
	 * @return the bound channel
	 * @throws RouterException with {@link ErrorType#LISTEN_FAILED}, naming the address,
	 * if the bind fails
	 */
	public static Channel bind(AbstractBootstrap<?, ?> bootstrap, SocketAddress address) {
		ChannelFuture bound = bootstrap.bind(address).awaitUninterruptibly();
		Throwable cause = bound.cause();
		if (cause != null) {
			throw RouterException.of(ErrorType.LISTEN_FAILED, ErrorType.LISTEN_FAILED.verdict(), cause, address,
					String.valueOf(cause.getMessage()));
		}
		return bound.channel();
	}

}
