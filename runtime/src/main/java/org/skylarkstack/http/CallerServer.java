package org.skylarkstack.http;

import io.javalin.compression.CompressionStrategy;
import io.javalin.config.JavalinConfig;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.skylarkstack.settings.CallerLimits;

/**
 * Server settings that bound what callers may take.
 */
public final class CallerServer {

	// Threads for Jetty itself and for refusing requests past the bound at once.
	private static final int SPARE_THREADS = 64;

	private static final int MIN_THREADS = 16;

	private static final int THREAD_IDLE_MILLIS = 30_000;

	private CallerServer() {
	}

	/**
	 * Applies the bounds to a server.
	 * @param config the server's configuration
	 * @param limits the bounds
	 */
	public static void apply(JavalinConfig config, CallerLimits limits) {
		// A request keeps its thread, so there must be one for each open request.
		QueuedThreadPool threads = new QueuedThreadPool(limits.maxOpenRequests() + SPARE_THREADS, MIN_THREADS,
				THREAD_IDLE_MILLIS);
		threads.setName("caller");
		config.jetty.threadPool = threads;
		config.jetty.modifyHttpConfiguration((http) -> {
			http.setRequestHeaderSize(limits.maxHeaderBytes());
			http.setIdleTimeout(limits.bodyTimeoutMillis());
			http.setSendServerVersion(false);
		});
		config.jetty.modifyServer((server) -> server.setErrorHandler(new ServerErrorPages()));
		config.http.maxRequestSize = limits.maxBodyBytes();
		// Compression would hold events back, and answers of services pass unchanged.
		config.http.compressionStrategy = CompressionStrategy.NONE;
		config.http.generateEtags = false;
	}

}
