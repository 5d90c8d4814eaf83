package org.skylarkstack.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.skylarkstack.configuration.EngineRole;
import org.skylarkstack.configuration.Route;
import org.skylarkstack.configuration.Team;
import org.skylarkstack.settings.BackendTimeouts;
import org.skylarkstack.standin.PlainServiceFault;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Graceful shutdowns of a daemon with open and late requests, over raw sockets.
 */
class ShutdownTests {

	private static final String KEY = "key";

	private static final String NOT_RUN = "X-Skylark-Verdict: not-run\r\n";

	private static final String MAY_HAVE_RUN = "X-Skylark-Verdict: may-have-run\r\n";

	private static final String CLOSE = "Connection: close\r\n";

	private @Nullable LocalFleet fleet;

	private int port;

	private final Map<String, CompletableFuture<String>> responses = new LinkedHashMap<>();

	private CompletableFuture<Void> stopped = CompletableFuture.completedFuture(null);

	private void start(int releaseMillis, int drainMillis, int decodeSlots) {
		BackendTimeouts timeouts = new BackendTimeouts(500, 10_000, 30_000, 30_000, 30_000, drainMillis, releaseMillis);
		LocalFleet started = LocalFleet.start(
				new FleetPlan(List.of(new VmPlan("vm-1", "dc-a"), new VmPlan("vm-2", "dc-a")),
						List.of(new EnginePlan("prefill", "dc-a", "model", EngineRole.PREFILL, 20, 640, 20_000, 20),
								new EnginePlan("decode", "dc-a", "model", EngineRole.DECODE, decodeSlots, 640, 20_000,
										20)),
						List.of(new Team("team", 100_000, 1_000_000, 1, null)), Map.of(KEY, "team"),
						List.of(new ServicePlan("records", List.of("dc-a"))),
						List.of(new Route("bookings", "/bookings", Set.of("POST"), "records", false, true),
								new Route("status", "/status", Set.of("GET"), "records", false, false)),
						"fair-queue"),
				timeouts);
		this.fleet = started;
		this.port = started.daemon("vm-1").callerPort();
		assertThat(client().submit("vm-1", fleet().firstTicket()).status()).isEqualTo(201);
		assertThat(client().awaitReady(Duration.ofSeconds(30))).isAtLeast(0L);
		assertThat(client().sendWithRateLimitRetries(client().chat("vm-1", KEY, "model", "first", 2)).status())
			.isEqualTo(200);
	}

	@AfterEach
	void stop() {
		this.stopped.join();
		fleet().close();
	}

	private LocalFleet fleet() {
		return Objects.requireNonNull(this.fleet);
	}

	private FleetClient client() {
		return new FleetClient(fleet());
	}

	private void stopDaemon() {
		this.stopped = CompletableFuture.runAsync(() -> fleet().stopDaemon("vm-1"));
	}

	private static String request(String line, String body, String... headers) {
		StringBuilder text = new StringBuilder(line + " HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer key\r\n");
		List.of(headers).forEach((header) -> text.append(header).append("\r\n"));
		return text + "Content-Length: " + body.length() + "\r\n\r\n" + body;
	}

	private static String completion(boolean stream, int tokens, String fields) {
		return request("POST /v1/completions",
				"{\"model\":\"model\",\"prompt\":\"register\",\"stream\":%s,\"max_tokens\":%d%s}".formatted(stream,
						tokens, fields));
	}

	private Socket connect() {
		try {
			Socket socket = new Socket("127.0.0.1", this.port);
			socket.setSoTimeout(30_000);
			return socket;
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private void send(String name, Socket socket, String text) {
		this.responses.put(name, CompletableFuture.supplyAsync(() -> {
			try (socket) {
				socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
				return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
			}
			catch (IOException ex) {
				return ex.toString();
			}
		}, (task) -> new Thread(task, name).start()));
	}

	private void send(String name, String text) {
		send(name, connect(), text);
	}

	private String response(String name) {
		return Objects.requireNonNull(this.responses.get(name)).join();
	}

	private static void await(BooleanSupplier condition) throws InterruptedException {
		for (int attempt = 0; attempt < 1_000 && !condition.getAsBoolean(); attempt++) {
			Thread.sleep(10);
		}
		assertThat(condition.getAsBoolean()).isTrue();
	}

	private void assertFailed(String name, int status, String verdict) {
		assertWithMessage(name).that(response(name)).startsWith("HTTP/1.1 " + status);
		assertWithMessage(name).that(response(name)).contains(verdict);
	}

	// Guards against open requests that end without a response when the time for
	// finishing them is over, and against a 503 for one that may have run.
	@Test
	void everyOpenRequestGetsAVerdictAtTheEndOfTheDrain() throws Exception {
		start(100, 600, 2);
		fleet().servers("records").get(0).slowBy(20_000);
		fleet().servers("records").get(0).inject(PlainServiceFault.SLOW, 3);
		send("booking", request("POST /bookings", "{}"));
		send("keyed booking", request("POST /bookings", "{}", "Idempotency-Key: visit-1"));
		send("status", request("GET /status/pump", ""));
		await(() -> fleet().servers("records").get(0).requests().size() == 3);
		send("stream", completion(true, 5_000, ""));
		send("json", completion(false, 5_000, ""));
		await(() -> fleet().engine("decode").load().running() == 2);
		send("waiting", completion(true, 5_000, ",\"service_tier\":\"batch\""));
		String slow = request("POST /bookings", "{\"visit\":1}");
		send("slow body", slow.substring(0, slow.length() - 5));
		Thread.sleep(300);
		stopDaemon();
		assertFailed("booking", 502, MAY_HAVE_RUN);
		assertFailed("keyed booking", 502, MAY_HAVE_RUN);
		assertFailed("status", 502, MAY_HAVE_RUN);
		assertFailed("json", 502, MAY_HAVE_RUN);
		assertFailed("waiting", 503, NOT_RUN);
		assertFailed("slow body", 503, NOT_RUN);
		assertThat(response("waiting")).contains("Retry-After");
		assertThat(response("stream")).startsWith("HTTP/1.1 200");
		assertThat(response("stream")).contains("SHUT_DOWN");
		assertThat(response("stream")).contains("may-have-run");
		assertThat(response("stream")).doesNotContain("[DONE]");
		assertThat(client().send(client().service("vm-2", KEY, "/bookings", "{}", "visit-1")).verdict())
			.isEqualTo("may-have-run");
	}

	// Guards against requests that are closed without a response because a slow store
	// holds them up, or because they were sent behind another request.
	@Test
	void requestsThatHaveNotBegunAtTheEndOfTheDrainAreRefused() throws Exception {
		start(100, 600, 20);
		send("pipelined", completion(true, 5_000, "") + request("POST /bookings", "{}", "Connection: close"));
		await(() -> fleet().engine("decode").load().running() == 1);
		fleet().platform().faults().delayMillis(600);
		for (int index = 0; index < 4; index++) {
			send("claim " + index, request("POST /bookings", "{}", "Idempotency-Key: visit-" + index));
		}
		Thread.sleep(50);
		stopDaemon();
		for (int index = 0; index < 4; index++) {
			assertFailed("claim " + index, 503, NOT_RUN);
		}
		assertThat(response("pipelined")).contains("SHUT_DOWN");
		String last = response("pipelined").substring(response("pipelined").lastIndexOf("HTTP/1.1 "));
		assertThat(last).startsWith("HTTP/1.1 503");
		assertThat(last).contains(NOT_RUN);
		assertThat(fleet().servers("records").get(0).requests()).isEmpty();
		fleet().platform().faults().delayMillis(0);
		assertThat(client().send(client().service("vm-2", KEY, "/bookings", "{}", "visit-0")).status()).isEqualTo(201);
	}

	// Guards against requests that are accepted late and cut off at the end of the drain
	// because they never had enough time.
	@Test
	void lateRequestsThatCannotFinishAreRefused() throws Exception {
		start(1_500, 500, 20);
		fleet().servers("records").get(0).slowBy(1_500);
		fleet().servers("records").get(0).inject(PlainServiceFault.SLOW, 4);
		List<Socket> kept = new ArrayList<>();
		for (int index = 0; index < 4; index++) {
			kept.add(connect());
			send("earlier booking " + index, request("POST /bookings", "{}", "Connection: close"));
			send("earlier stream " + index, completion(true, 100, "").replaceFirst("\r\n", "\r\n" + CLOSE));
		}
		this.responses.values().forEach(CompletableFuture::join);
		fleet().servers("records").get(0).inject(PlainServiceFault.SLOW, 1);
		stopDaemon();
		Thread.sleep(1_000);
		send("booking", kept.get(0), request("POST /bookings", "{}"));
		send("keyed booking", kept.get(1), request("POST /bookings", "{}", "Idempotency-Key: visit-2"));
		send("stream", kept.get(2), completion(true, 100, ""));
		send("json", kept.get(3), completion(false, 100, ""));
		send("short stream", completion(true, 10, ""));
		for (String name : List.of("booking", "keyed booking", "stream", "json")) {
			assertFailed(name, 503, NOT_RUN);
			assertThat(response(name)).contains(CLOSE);
			assertThat(response(name)).contains("Retry-After");
		}
		assertThat(response("short stream")).contains("[DONE]");
		assertThat(fleet().servers("records").get(0).requests()).hasSize(4);
		assertThat(client().send(client().service("vm-2", KEY, "/bookings", "{}", "visit-2")).status()).isEqualTo(201);
	}

	// Guards against callers that find no VM although those that stop have time left.
	@Test
	void requestsAreAcceptedWhileAllVmsStop() throws Exception {
		start(3_000, 1_000, 20);
		CompletableFuture<Void> other = CompletableFuture.runAsync(() -> fleet().stopDaemon("vm-2"));
		stopDaemon();
		for (int index = 0; index < 5; index++) {
			Thread.sleep(200);
			send("stream " + index, completion(true, 5, ""));
			send("booking " + index, request("POST /bookings", "{}"));
		}
		for (int index = 0; index < 5; index++) {
			assertThat(response("stream " + index)).contains("[DONE]");
			assertThat(response("booking " + index)).startsWith("HTTP/1.1 201");
		}
		other.join();
	}

	// Guards against callers that send their next request on a connection that is about
	// to be closed.
	@Test
	void responsesDuringAShutdownAnnounceTheEndOfTheConnection() throws Exception {
		start(1_500, 1_000, 20);
		fleet().servers("records").get(0).slowBy(600);
		fleet().servers("records").get(0).inject(PlainServiceFault.SLOW, 1);
		send("earlier booking", request("POST /bookings", "{}"));
		await(() -> fleet().servers("records").get(0).requests().size() == 1);
		stopDaemon();
		await(() -> {
			send("ready", request("GET /readyz", "", "Connection: close"));
			return response("ready").startsWith("HTTP/1.1 503");
		});
		send("booking", request("POST /bookings", "{}"));
		send("stream", completion(true, 3, ""));
		send("json", completion(false, 3, ""));
		send("models", request("GET /v1/models", ""));
		send("unknown route", request("GET /nowhere", ""));
		send("wrong key", completion(true, 3, "").replace("Bearer key", "Bearer other"));
		send("pipelined", request("GET /status/pump", "") + request("GET /status/valve", ""));
		this.responses.forEach((name, response) -> assertWithMessage(name).that(response.join()).contains(CLOSE));
		assertThat(response("earlier booking")).startsWith("HTTP/1.1 201");
		assertThat(response("booking")).startsWith("HTTP/1.1 201");
		assertThat(response("stream")).contains("[DONE]");
		assertThat(response("wrong key")).startsWith("HTTP/1.1 401");
		assertThat(fleet().servers("records").get(0).requests().stream().map((request) -> request.path()))
			.doesNotContain("/status/valve");
	}

}
