package org.skylarkstack.engine;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import okhttp3.ConnectionPool;
import okhttp3.OkHttpClient;
import okhttp3.Protocol;
import okhttp3.Response;
import org.jspecify.annotations.Nullable;

/**
 * HTTP clients for backend servers, with one connection pool per server.
 *
 * <p>
 * When one connection to a server stops responding or breaks, the other connections in
 * its pool may be broken as well. The server then gets a new, empty pool; calls in
 * progress finish on the old pool, which is not used for new calls.
 */
public final class BackendClients {

	// The largest configuration has 600 engines and fewer servers of plain services.
	private static final int MAX_SERVERS = 4_096;

	private static final int MAX_IDLE_CONNECTIONS = 64;

	private static final long KEEP_ALIVE_SECONDS = 20;

	private final OkHttpClient base;

	private final OkHttpClient unpooled;

	private final Cache<String, ConnectionPool> pools = Caffeine.newBuilder()
		.maximumSize(MAX_SERVERS)
		.expireAfterAccess(Duration.ofHours(1))
		.build();

	/**
	 * Creates the clients.
	 * @param connectMillis the connect timeout in milliseconds
	 */
	public BackendClients(int connectMillis) {
		this.base = new OkHttpClient.Builder().retryOnConnectionFailure(false)
			.followRedirects(false)
			.followSslRedirects(false)
			.protocols(List.of(Protocol.HTTP_1_1))
			.connectTimeout(Duration.ofMillis(connectMillis))
			.addNetworkInterceptor(new NoRetryInterceptor())
			.addNetworkInterceptor(new StatusInterceptor())
			.eventListenerFactory(SendTracker::of)
			.build();
		this.unpooled = this.base.newBuilder().connectionPool(new ConnectionPool(0, 1, TimeUnit.SECONDS)).build();
	}

	/**
	 * Returns a client that reuses idle connections to a server.
	 * @param server the server's base URL
	 * @param idleMillis the read and write timeout in milliseconds
	 * @return the client
	 */
	public OkHttpClient pooled(String server, int idleMillis) {
		ConnectionPool pool = this.pools.get(server,
				(key) -> new ConnectionPool(MAX_IDLE_CONNECTIONS, KEEP_ALIVE_SECONDS, TimeUnit.SECONDS));
		return withIdleTimeout(this.base.newBuilder().connectionPool(pool), idleMillis);
	}

	/**
	 * Returns a client that opens a new connection for each call and closes it
	 * afterwards.
	 * @param idleMillis the read and write timeout in milliseconds
	 * @return the client
	 */
	public OkHttpClient unpooled(int idleMillis) {
		return withIdleTimeout(this.unpooled.newBuilder(), idleMillis);
	}

	private static OkHttpClient withIdleTimeout(OkHttpClient.Builder builder, int idleMillis) {
		Duration timeout = Duration.ofMillis(idleMillis);
		return builder.readTimeout(timeout).writeTimeout(timeout).build();
	}

	/**
	 * Closes the idle connections to a server because one of its connections stopped
	 * responding or broke.
	 * @param server the server's base URL
	 */
	public void discardIdleConnections(String server) {
		ConnectionPool pool = this.pools.getIfPresent(server);
		if (pool != null) {
			this.pools.invalidate(server);
			pool.evictAll();
		}
	}

	/**
	 * Returns the Retry-After header of a response.
	 * @param response the response, received through one of these clients
	 * @return the header value as the backend server sent it, or {@code null} if it sent
	 * none
	 */
	public static @Nullable String retryAfter(Response response) {
		return response.header(NoRetryInterceptor.BACKEND_RETRY_AFTER);
	}

}
