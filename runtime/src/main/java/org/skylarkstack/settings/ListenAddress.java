package org.skylarkstack.settings;

/**
 * Address that a daemon listens on or connects to.
 *
 * @param host the IP number
 * @param port the TCP port; 0 picks a free one where a daemon listens
 */
public record ListenAddress(String host, int port) {

	@Override
	public String toString() {
		return this.host + ":" + this.port;
	}

}
