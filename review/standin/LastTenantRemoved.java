package org.skylarkstack.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The operator takes the keys of two tenants away, one tenant after the other. A caller
 * that still holds the keys sends requests long after each confirmation.
 */
final class LastTenantRemoved {

	// A little more than revokeMs.
	private static final long WAIT_MILLIS = 6_000;

	private static final String ROUTES = """
			{"name":"r1","host":"review.example","prefix":"/book/","kind":"non_idempotent","service":"plain",
			"timeoutMs":4000,"targetLatencyMs":300,"priority":1,"maxAttempts":1,"public":false}""";

	private static final String SERVICES = """
			{"name":"plain","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false}""";

	private LastTenantRemoved() {
	}

	public static void main(String[] arguments) {
		ReviewFleet.main(arguments, LastTenantRemoved::run);
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
		InetSocketAddress callers = fleet.startDaemon("vm-1", fleet.store().address());
		send(fleet, callers, "before-1", "key-1");
		send(fleet, callers, "before-2", "key-2");
		if (!ran.containsAll(Set.of("before-1", "before-2"))) {
			throw new IllegalStateException("the first requests did not run");
		}
		fleet.configureTenants(ROUTES, SERVICES, second);
		Thread.sleep(WAIT_MILLIS);
		send(fleet, callers, "withdrawn-1", "key-1");
		send(fleet, callers, "granted-2", "key-2");
		fleet.configureTenants(ROUTES, SERVICES, trouble ? "" : second);
		Thread.sleep(WAIT_MILLIS);
		send(fleet, callers, trouble ? "withdrawn-2" : "granted-2", "key-2");
		send(fleet, callers, "withdrawn-3", "key-1");
		send(fleet, callers, "unknown", "key-that-no-configuration-held");
		return ran.stream().noneMatch((id) -> id.startsWith("withdrawn") || id.equals("unknown"));
	}

	private static void send(ReviewFleet fleet, InetSocketAddress callers, String id, String key) throws IOException {
		try (Socket socket = new Socket()) {
			socket.connect(callers, 1_000);
			socket.setSoTimeout(6_000);
			fleet.note("client sends %s with %s", id, key);
			socket.getOutputStream()
				.write(("POST /book/x HTTP/1.1\r\nHost: review.example\r\nX-Request-Id: %s\r\n"
						+ "X-Request-Timeout-Ms: 4000\r\nX-Credential: %s\r\nContent-Length: 4\r\n\r\nbody")
					.formatted(id, key)
					.getBytes(StandardCharsets.US_ASCII));
			ReviewServer.Request answer = ReviewServer.Request.read(socket.getInputStream());
			fleet.note("client got %s for %s", (answer != null) ? answer.status() : "a closed channel", id);
		}
	}

}
