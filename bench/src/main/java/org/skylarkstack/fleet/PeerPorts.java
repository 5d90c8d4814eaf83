package org.skylarkstack.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Allocates ports for the peer addresses of local fleets, which must be known before any
 * daemon starts. The ports are below the ephemeral range, because an outgoing connection
 * can take an ephemeral port between its allocation and the start of the daemon.
 */
final class PeerPorts {

	private static final int FIRST_PORT = 12_000;

	private static final int PORT_COUNT = 20_000;

	/**
	 * Distance between the first ports of processes with consecutive process identifiers,
	 * so that processes rarely probe the same port.
	 */
	private static final int PROCESS_STRIDE = 97;

	private static final AtomicInteger NEXT = new AtomicInteger(
			(int) (ProcessHandle.current().pid() * PROCESS_STRIDE % PORT_COUNT));

	private PeerPorts() {
	}

	/**
	 * Returns a loopback port to which no socket is bound at the time of the call.
	 * @return the port, which is not reserved
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
