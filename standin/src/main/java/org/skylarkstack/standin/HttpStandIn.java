package org.skylarkstack.standin;

import java.util.function.Consumer;

import io.javalin.Javalin;
import io.javalin.compression.CompressionStrategy;
import io.javalin.config.JavalinConfig;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * HTTP server of a stand-in on the loopback interface.
 */
final class HttpStandIn implements AutoCloseable {

	private static final String LOOPBACK = "127.0.0.1";

	private static final int DEFAULT_MAX_THREADS = 250;

	/** Jetty interrupts blocked handlers after half of this time. */
	private static final int STOP_TIMEOUT_MILLIS = 100;

	/** Configuration snapshots have several MB, more than Javalin's default of 1 MB. */
	private static final long MAX_REQUEST_BYTES = 64L * 1024 * 1024;

	private final Javalin server;

	private final int port;

	HttpStandIn(int port, Consumer<JavalinConfig> routes) {
		this(port, DEFAULT_MAX_THREADS, routes);
	}

	HttpStandIn(int port, int maxThreads, Consumer<JavalinConfig> routes) {
		this.server = Javalin.create((config) -> {
			config.startup.showJavalinBanner = false;
			config.http.compressionStrategy = CompressionStrategy.NONE;
			QueuedThreadPool threads = new QueuedThreadPool(maxThreads);
			threads.setName("stand-in");
			threads.setStopTimeout(STOP_TIMEOUT_MILLIS);
			config.jetty.threadPool = threads;
			config.http.maxRequestSize = MAX_REQUEST_BYTES;
			routes.accept(config);
		}).start(LOOPBACK, port);
		this.port = this.server.port();
	}

	int port() {
		return this.port;
	}

	String url() {
		return "http://" + LOOPBACK + ":" + this.port;
	}

	/** Closes all connections without completing their requests, then stops. */
	void abort() {
		for (Connector connector : this.server.jettyServer().server().getConnectors()) {
			connector.getConnectedEndPoints().forEach(EndPoint::close);
		}
		close();
	}

	@Override
	public void close() {
		this.server.stop();
	}

}
