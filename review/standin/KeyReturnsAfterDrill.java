package org.skylarkstack.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A key is withdrawn. Some seconds later the store returns from an older copy, in which
 * the key still holds, and both daemons are killed and start again, one after the other.
 * The second one starts while the first one already knows that a newer configuration
 * exists.
 */
final class KeyReturnsAfterDrill {

	// More than revokeMs.
	private static final long BEFORE_DRILL_MILLIS = 6_500;

	private static final long AWAY_MILLIS = 2_000;

	private static final long BETWEEN_KILLS_MILLIS = Long.getLong("between", 400);

	// Time from the return of the store until the operator has written again.
	private static final long REWRITE_MILLIS = 3_000;

	private static final String ROUTES = """
			{"name":"r1","host":"review.example","prefix":"/book/","kind":"non_idempotent","service":"plain",
			"timeoutMs":4000,"targetLatencyMs":300,"priority":1,"maxAttempts":1,"public":false}""";

	private static final String SERVICES = """
			{"name":"plain","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false}""";

	private KeyReturnsAfterDrill() {
	}

	public static void main(String[] arguments) {
		ReviewFleet.main(arguments, KeyReturnsAfterDrill::run);
	}

	private static boolean run(ReviewFleet fleet, boolean trouble) throws Exception {
		String first = ReviewFleet.tenant("team-1", "key-1");
		String second = ReviewFleet.tenant("team-2", "key-2");
		fleet.configureTenants(ROUTES, SERVICES, first + "," + second);
		Set<String> ran = ConcurrentHashMap.newKeySet();
		ReviewServer server = ReviewServer.start("s-1", fleet.nextHost(), 0, (request, socket) -> {
			request.readBody();
			ran.add(request.id());
			fleet.note("server runs %s for tenant '%s'", request.id(), request.header("x-tenant-id"));
			ReviewServer.write(socket, 200,
					"X-Request-Id: %s\r\nX-Server-Signature: proof\r\n".formatted(request.id()), "done");
			return true;
		});
		fleet.announce("s-1", "plain", "", server.address(), 6, 1);
		StoreStandIn store = fleet.store();
		InetSocketAddress callers1 = fleet.startDaemon("vm-1", store.address());
		InetSocketAddress callers2 = fleet.startDaemon("vm-2", store.address());
		Thread.sleep(2_500);
		send(fleet, callers1, "before-1", "key-1");
		send(fleet, callers2, "before-2", "key-1");
		if (!ran.containsAll(Set.of("before-1", "before-2"))) {
			throw new IllegalStateException("the first requests did not run");
		}
		StoreStandIn.Copy copy = store.copy();
		fleet.note("a copy of the store is made");
		fleet.configureTenants(ROUTES, SERVICES, second);
		Thread.sleep(BEFORE_DRILL_MILLIS);
		send(fleet, callers1, "withdrawn-1", "key-1");
		send(fleet, callers2, "withdrawn-2", "key-1");
		if (trouble) {
			store.setUnavailable(true);
			fleet.note("drill: the store is away");
		}
		fleet.killDaemon("vm-2");
		fleet.restartDaemon("vm-2", store.address());
		Thread.sleep(AWAY_MILLIS);
		if (trouble) {
			store.restore(copy);
			store.setUnavailable(false);
			fleet.note("drill: the store is back from its copy");
		}
		long returnNanos = System.nanoTime();
		// Both daemons have read the store again by then, and each other's reports.
		Thread.sleep(BETWEEN_KILLS_MILLIS);
		fleet.killDaemon("vm-1");
		fleet.restartDaemon("vm-1", store.address());
		int number = 3;
		while (System.nanoTime() - returnNanos < REWRITE_MILLIS * 1_000_000) {
			send(fleet, callers1, "withdrawn-" + number++, "key-1");
			send(fleet, callers2, "withdrawn-" + number++, "key-1");
			Thread.sleep(100);
		}
		if (trouble) {
			fleet.announce("s-1", "plain", "", server.address(), 6, 9);
			fleet.rewriteConfiguration(ROUTES, SERVICES, second);
		}
		Thread.sleep(2_000);
		send(fleet, callers1, "withdrawn-" + number++, "key-1");
		send(fleet, callers1, "granted", "key-2");
		return ran.stream().noneMatch((id) -> id.startsWith("withdrawn"));
	}

	private static void send(ReviewFleet fleet, InetSocketAddress callers, String id, String key) {
		try (Socket socket = new Socket()) {
			socket.connect(callers, 1_000);
			socket.setSoTimeout(6_000);
			fleet.note("client sends %s with %s to port %d", id, key, callers.getPort());
			socket.getOutputStream()
				.write(("POST /book/x HTTP/1.1\r\nHost: review.example\r\nX-Request-Id: %s\r\n"
						+ "X-Request-Timeout-Ms: 4000\r\nX-Credential: %s\r\nContent-Length: 4\r\n\r\nbody")
					.formatted(id, key)
					.getBytes(StandardCharsets.US_ASCII));
			ReviewServer.Request answer = ReviewServer.Request.read(socket.getInputStream());
			fleet.note("client got %s for %s", (answer != null) ? answer.status() : "a closed channel", id);
		}
		catch (IOException ex) {
			fleet.note("client cannot reach the daemon: %s", id);
		}
	}

}
