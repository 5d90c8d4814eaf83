package org.skylarkstack.edge;

import java.net.SocketAddress;

import io.netty.bootstrap.AbstractBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;

/**
 * Binds sockets. Netty rethrows a failed bind as an undeclared checked exception.
 */
public final class Listening {

	private Listening() {
	}

	/**
	 * Binds a socket and waits until it listens.
	 * @param bootstrap the socket's set-up
	 * @param address the address
	 * @return the socket
	 * @throws RouterException with {@link ErrorType#LISTEN_FAILED} naming the address
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
