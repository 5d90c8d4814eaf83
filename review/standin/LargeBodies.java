package org.skylarkstack.platform;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send requests with long bodies, within the limits of the configuration.
 */
final class LargeBodies {

	private static final int BODY_BYTES = Integer.getInteger("body", 4_000_000);

	private static final int CLIENTS = Integer.getInteger("clients", 24);

	private static final String ROUTES = """
			{"name":"r1","host":"review.example","prefix":"/book/","kind":"non_idempotent","service":"plain",
			"timeoutMs":4000,"targetLatencyMs":300,"priority":1,"maxAttempts":1,"public":false}""";

	private static final String SERVICES = """
			{"name":"plain","healthPath":"/healthz","maxConns":100,"protocol":"h1","tls":false}""";

	private LargeBodies() {
	}

	public static void main(String[] arguments) {
		ReviewFleet.main(arguments, LargeBodies::run);
	}

	private static boolean run(ReviewFleet fleet, boolean trouble) throws Exception {
		fleet.configure(ROUTES, SERVICES);
		ReviewServer server = ReviewServer.start("s-1", fleet.nextHost(), 0, (request, socket) -> {
			byte[] body = request.readBody();
			fleet.note("server ran %s (%d bytes)", request.id(), body.length);
			try { Thread.sleep(80); } catch (InterruptedException ex) { }
			ReviewServer.write(socket, 200, "X-Request-Id: %s\r\nX-Server-Signature: proof-%s\r\n".formatted(request.id(),
					request.id()), "done " + request.id());
			return true;
		});
		fleet.announce("s-1", "plain", "", server.address(), 60, 1);
		var callers = fleet.startDaemon("vm-1", fleet.store().address());
		AtomicInteger lost = new AtomicInteger();
		List<Thread> clients = new ArrayList<>();
		for (int number = 0; number < CLIENTS; number++) {
			String id = "long-" + number;
			clients.add(new Thread(() -> client(fleet, callers, id, lost)));
		}
		clients.forEach(Thread::start);
		for (Thread client : clients) {
			client.join();
		}
		for (int i = 0; i < 20; i++) {
			String id = "short-" + i;
			try (Socket socket = new Socket()) {
				socket.connect(callers, 1_000);
				socket.setSoTimeout(5_000);
				exchange(fleet, socket, id, 600);
			}
			catch (IOException ex) {
				fleet.note("client failed %s: %s", id, ex);
			}
			Thread.sleep(500);
		}
		fleet.note("alive %s lost %d", fleet.daemon("vm-1").isAlive(), lost.get());
		return lost.get() == 0;
	}

	private static void client(ReviewFleet fleet, InetSocketAddress callers, String id, AtomicInteger lost) {
		try (Socket socket = new Socket()) {
			socket.connect(callers, 1_000);
			socket.setSoTimeout(10_000);
			exchange(fleet, socket, id, BODY_BYTES);
			Thread.sleep(8_000);
		}
		catch (IOException ex) {
			lost.incrementAndGet();
			fleet.note("client failed %s: %s", id, ex);
		}
		catch (InterruptedException ex) { }
	}

	private static void exchange(ReviewFleet fleet, Socket socket, String id, int bytes) throws IOException {
		byte[] body = new byte[bytes];
		Arrays.fill(body, (byte) 'q');
		OutputStream out = socket.getOutputStream();
		out.write(("POST /book/x HTTP/1.1\r\nHost: review.example\r\nX-Request-Id: %s\r\n"
				+ "X-Request-Timeout-Ms: 4000\r\nX-Credential: %s\r\nContent-Length: %d\r\n\r\n")
			.formatted(id, ReviewFleet.KEY, body.length)
			.getBytes(StandardCharsets.US_ASCII));
		out.write(body);
		out.flush();
		fleet.note("client sent %s", id);
		ReviewServer.Request answer = ReviewServer.Request.read(socket.getInputStream());
		if (answer == null) {
			throw new IOException("closed without an answer");
		}
		fleet.note("client got %d for %s %s", answer.status(), id, new String(answer.readBody()));
	}

}
