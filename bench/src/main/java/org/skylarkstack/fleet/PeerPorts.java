package org.skylarkstack.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Ports for the peer addresses of local fleets, which have to be known before any daemon
 * starts. They lie below the ephemeral range: a port found with a bind to port 0 was at
 * times taken by an outgoing connection before its daemon started.
 */
final class PeerPorts {

	private static final int FIRST_PORT = 12_000;

	private static final int PORT_COUNT = 20_000;

	/** Processes start at different places, so that they rarely try the same port. */
	private static final int PROCESS_STRIDE = 97;

	private static final AtomicInteger NEXT = new AtomicInteger(
			(int) (ProcessHandle.current().pid() * PROCESS_STRIDE % PORT_COUNT));

	private PeerPorts() {
	}

	/**
	 * Returns a port on loopback that is free now.
	 * @return the port
	 */
	static int next() {
		for (int attempt = 0; attempt < PORT_COUNT; attempt++) {
			int port = FIRST_PORT + Math.floorMod(NEXT.getAndIncrement(), PORT_COUNT);
			if (isFree(port)) {
				return port;
			}
		}
		throw new IllegalStateException("no free port on loopback");
	}

	private static boolean isFree(int port) {
		try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
			return socket.isBound();
		}
		catch (IOException ex) {
			return false;
		}
	}

}
