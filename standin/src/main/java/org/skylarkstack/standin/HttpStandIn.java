package org.skylarkstack.standin;

import java.util.function.Consumer;

import io.javalin.Javalin;
import io.javalin.config.JavalinConfig;

/**
 * HTTP server of a stand-in on the loopback interface.
 */
final class HttpStandIn implements AutoCloseable {

	private static final String LOOPBACK = "127.0.0.1";

	/** A configuration snapshot has several megabytes, more than the default of 1 MB. */
	private static final long MAX_REQUEST_BYTES = 64L * 1024 * 1024;

	private final Javalin server;

	HttpStandIn(int port, Consumer<JavalinConfig> routes) {
		this.server = Javalin.create((config) -> {
			config.startup.showJavalinBanner = false;
			config.http.maxRequestSize = MAX_REQUEST_BYTES;
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
