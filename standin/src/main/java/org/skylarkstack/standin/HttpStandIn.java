package org.skylarkstack.standin;

import java.util.function.Consumer;

import io.javalin.Javalin;
import io.javalin.config.JavalinConfig;

/**
 * HTTP server of a stand-in on the loopback interface.
 */
final class HttpStandIn implements AutoCloseable {

	private static final String LOOPBACK = "127.0.0.1";

	private final Javalin server;

	HttpStandIn(int port, Consumer<JavalinConfig> routes) {
		this.server = Javalin.create((config) -> {
			config.startup.showJavalinBanner = false;
			routes.accept(config);
		}).start(LOOPBACK, port);
	}

	String url() {
		return "http://" + LOOPBACK + ":" + this.server.port();
	}

	@Override
	public void close() {
		this.server.stop();
	}

}
