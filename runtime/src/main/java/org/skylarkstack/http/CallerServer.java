package org.skylarkstack.http;

import io.javalin.compression.CompressionStrategy;
import io.javalin.config.JavalinConfig;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.skylarkstack.settings.CallerLimits;

/**
 * Applies the limits on callers to the HTTP server.
 */
public final class CallerServer {

	// For Jetty's own tasks and for rejecting requests above the limit without delay.
	private static final int SPARE_THREADS = 64;

	private static final int MIN_THREADS = 16;

	private static final int THREAD_IDLE_MILLIS = 30_000;

	// When the server stops, a request that is being received may still be completed and
	// answered.
	private static final long STOP_TIMEOUT_MILLIS = 2_000;

	private CallerServer() {
	}

	/**
	 * Sets the thread pool, timeouts and size limits of a server.
	 * @param config the server's configuration
	 * @param limits the limits
	 */
	public static void apply(JavalinConfig config, CallerLimits limits) {
		// Each open request occupies one thread until it ends.
		QueuedThreadPool threads = new QueuedThreadPool(limits.maxOpenRequests() + SPARE_THREADS, MIN_THREADS,
				THREAD_IDLE_MILLIS);
		threads.setName("caller");
		config.jetty.threadPool = threads;
		config.jetty.modifyHttpConfiguration((http) -> {
			http.setRequestHeaderSize(limits.maxHeaderBytes());
			http.setIdleTimeout(limits.bodyTimeoutMillis());
			http.setSendServerVersion(false);
		});
		config.jetty.modifyServer((server) -> {
			server.setErrorHandler(new JsonErrorHandler());
			server.setStopTimeout(STOP_TIMEOUT_MILLIS);
		});
		config.http.maxRequestSize = limits.maxBodyBytes();
		// Compression would delay server-sent events, and responses of plain services are
		// passed on unchanged.
		config.http.compressionStrategy = CompressionStrategy.NONE;
		config.http.generateEtags = false;
	}

}
