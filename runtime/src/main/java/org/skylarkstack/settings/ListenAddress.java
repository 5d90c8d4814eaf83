package org.skylarkstack.settings;

/**
 * Address that a daemon listens on or connects to.
 *
 * @param host the IP address
 * @param port the TCP port; when listening, 0 selects a free port
 */
public record ListenAddress(String host, int port) {

	@Override
	public String toString() {
		return this.host + ":" + this.port;
	}

}
