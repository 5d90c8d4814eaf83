package org.skylarkstack.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;

import io.javalin.Javalin;
import mockwebserver3.Dispatcher;
import mockwebserver3.MockResponse;
import mockwebserver3.MockWebServer;
import mockwebserver3.RecordedRequest;
import mockwebserver3.SocketEffect;
import okhttp3.Headers;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.skylarkstack.configuration.ApiKey;
import org.skylarkstack.configuration.BackendServer;
import org.skylarkstack.configuration.BackendService;
import org.skylarkstack.configuration.KeyFreshness;
import org.skylarkstack.configuration.Route;
import org.skylarkstack.configuration.Ticket;
import org.skylarkstack.configuration.TicketChange;
import org.skylarkstack.engine.BackendClients;
import org.skylarkstack.kernel.Cancellation;
import org.skylarkstack.kernel.Verdict;
import org.skylarkstack.metrics.RouterMetrics;
import org.skylarkstack.misc.Hashes;
import org.skylarkstack.misc.TimeSource;
import org.skylarkstack.request.BackendServerSelector;
import org.skylarkstack.request.RequestPathFixture;
import org.skylarkstack.request.RetryBudget;
import org.skylarkstack.request.RetryPolicy;
import org.skylarkstack.request.ServiceProxy;
import org.skylarkstack.request.ShutdownAdmission;
import org.skylarkstack.request.ShutdownSequence;
import org.skylarkstack.settings.CallerLimits;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests {@link CallerApi} over raw sockets, so that requests can be malformed, slow or
 * cut off.
 */
class CallerApiTests {

	private static final CallerLimits LIMITS = new CallerLimits(4_096, 10_000, 10, 2_000, 8_000);

	// More than the socket buffers of both ends hold.
	private static final int LARGE_BYTES = 32 * 1024 * 1024;

	private static final int PART_BYTES = 10_000;

	private static final String BODY = "{\"model\":\"model\",\"prompt\":\"hello\",\"stream\":true}";

	private final RequestPathFixture fixture = new RequestPathFixture();

	private final CallerDisconnectMonitor disconnectMonitor = new CallerDisconnectMonitor();

	private final RouterMetrics metrics = new RouterMetrics("dc");

	private final MockWebServer service = new MockWebServer();

	private final Queue<Integer> openAfterHandler = new ConcurrentLinkedQueue<>();

	private Javalin server = Javalin.create();

	@BeforeEach
	void start() throws IOException {
		this.service.start();
		TimeSource time = TimeSource.system();
		Authenticator authenticator = new Authenticator(this.fixture.configuration(),
				new KeyFreshness(this.fixture.configuration()), time);
		IdempotencyKeyHandler idempotencyKeyHandler = new IdempotencyKeyHandler(this.fixture.claims(),
				this.fixture.ids());
		RetryBudget budget = new RetryBudget(time.nanos());
		ServiceProxy proxy = new ServiceProxy(this.fixture.configuration(), new BackendClients(2_000),
				new BackendServerSelector("dc"), budget, new RetryPolicy(budget),
				new ShutdownAdmission(new ShutdownSequence(0, 0, 0)), 2_000, time);
		ServiceApi services = new ServiceApi(this.fixture.configuration(), authenticator, this.fixture.openRequests(),
				this.disconnectMonitor, idempotencyKeyHandler, proxy, LIMITS, this.metrics, time);
		CallerApi api = new CallerApi(this.fixture.configuration(), authenticator, this.fixture.pipeline(), services,
				this.fixture.openRequests(), this.disconnectMonitor, idempotencyKeyHandler, LIMITS, this.metrics, time,
				() -> true);
		this.server = Javalin.create((config) -> {
			config.startup.showJavalinBanner = false;
			api.register(config);
			config.routes.after((context) -> this.openAfterHandler.add(this.fixture.openRequests().openCount()));
		}).start("127.0.0.1", 0);
		BackendServer backend = new BackendServer("http://127.0.0.1:" + this.service.getPort(), "dc", false);
		this.fixture.apply(new Ticket(2, "test",
				List.of(TicketChange.set(new BackendService("meals", List.of(backend))),
						TicketChange.set(new Route("meals", "/meals", Set.of("GET", "POST"), "meals", false, true)),
						TicketChange.set(new Route("menu", "/menu", Set.of("GET"), "meals", true, false)))));
	}

	@AfterEach
	void stop() {
		this.server.stop();
		this.service.close();
		assertThat(this.fixture.openRequests().openCount()).isEqualTo(0);
		assertThat(this.disconnectMonitor.size()).isEqualTo(0);
		this.fixture.assertAllReleased();
	}

	private Socket send(String text) throws IOException {
		Socket socket = new Socket("127.0.0.1", this.server.port());
		socket.setSoTimeout(20_000);
		socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
		return socket;
	}

	private static String head(String line, int contentLength, String... headers) {
		StringBuilder head = new StringBuilder(line + " HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer key\r\n");
		for (String header : headers) {
			head.append(header).append("\r\n");
		}
		return head + "Content-Length: " + contentLength + "\r\n\r\n";
	}

	private static String completion(String body, String... headers) {
		return head("POST /v1/completions", body.length(), headers) + body;
	}

	/** Sends a request on a new connection and reads the whole response. */
	private String sendAndReadAll(String text) throws IOException {
		try (Socket socket = send(text.replaceFirst("\r\n", "\r\nConnection: close\r\n"))) {
			return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
		}
	}

	private static void readUntil(Socket socket, String text) throws IOException {
		StringBuilder read = new StringBuilder();
		InputStream input = socket.getInputStream();
		while (read.indexOf(text) < 0) {
			int next = input.read();
			assertThat(next).isAtLeast(0);
			read.append((char) next);
		}
	}

	private void blockStreamAfter(int tokens, CountDownLatch blocked) {
		this.fixture.onDecode(tokens, () -> {
			Cancellation cancellation = this.fixture.lastCancellation();
			CountDownLatch cancelled = new CountDownLatch(1);
			cancellation.onCancel(cancelled::countDown);
			blocked.countDown();
			cancelled.await();
			cancellation.check(Verdict.MAY_HAVE_RUN);
		});
	}

	// Guards against a bad request that gets no response, or one without an error object
	// and a verdict header.
	@Test
	void invalidRequestIsRejectedWithOneError() throws IOException {
		for (String[] each : new String[][] { { completion("{"), "400" }, { completion("[]"), "400" },
				{ completion("{\"model\":\"model\"}"), "400" },
				{ completion("{\"model\":\"model\",\"prompt\":\"x\",\"n\":0}"), "400" },
				{ completion("{\"model\":\"model\",\"prompt\":\"x\",\"max_tokens\":\"9\"}"), "400" },
				{ completion("{\"model\":\"none\",\"prompt\":\"x\"}"), "404" },
				{ head("POST /v1/completions", 10_001), "413" }, { head("GET /nowhere", 0), "404" },
				{ head("TRACE /menu", 0), "404" }, { head("GET /menu", 0, "X-Long: " + "x".repeat(5_000)), "431" },
				{ "nonsense\r\n\r\n", "400" }, { completion(BODY).replace("Bearer key", "Bearer other"), "401" },
				{ head("GET /menu?k=key", 0), "400" } }) {
			String response = sendAndReadAll(each[0]);
			assertThat(response).startsWith("HTTP/1.1 " + each[1]);
			assertThat(response.toLowerCase(java.util.Locale.ROOT)).contains("x-skylark-verdict: not-run");
			assertThat(response).contains("\"error\"");
		}
	}

	// Guards against callers that occupy a request slot by sending the body slowly or not
	// at all.
	@Test
	void slowSenderIsRefused() throws IOException {
		assertThat(sendAndReadAll(head("POST /v1/completions", 100) + "{")).startsWith("HTTP/1.1 408");
	}

	// Guards against a chunked body, which has no Content-Length, above the size limit.
	@Test
	void chunkedBodyIsBounded() throws IOException {
		String head = head("POST /v1/completions", 0).replace("Content-Length: 0", "Transfer-Encoding: chunked");
		assertThat(sendAndReadAll(head + "2ee0\r\n" + "x".repeat(12_000) + "\r\n0\r\n\r\n")).startsWith("HTTP/1.1 413");
	}

	// Guards against a disconnect that goes unnoticed because nothing is written to the
	// caller, so that its request stays open.
	@Test
	void disconnectedCallerIsDetectedBetweenTokens() throws Exception {
		CountDownLatch blocked = new CountDownLatch(1);
		blockStreamAfter(2, blocked);
		try (Socket socket = send(completion(BODY))) {
			readUntil(socket, "t2");
			blocked.await();
			this.disconnectMonitor.check();
			assertThat(this.fixture.openRequests().openCount()).isEqualTo(1);
		}
		for (long end = System.nanoTime() + 20_000_000_000L; this.fixture.openRequests().openCount() > 0
				&& System.nanoTime() < end;) {
			this.disconnectMonitor.check();
			Thread.onSpinWait();
		}
		assertThat(this.fixture.openRequests().openCount()).isEqualTo(0);
	}

	// Guards against a shutdown that closes a connection between the end of the handler
	// and the last byte of its response.
	@Test
	void requestIsOpenUntilItsResponseIsComplete() throws IOException {
		assertThat(sendAndReadAll(completion(BODY))).contains("[DONE]");
		assertThat(this.openAfterHandler).containsExactly(1);
	}

	// Guards against a request that was accepted just before a stop and gets no response.
	@Test
	void requestThatIsBeingReceivedAtAStopIsAnswered() throws Exception {
		String request = completion(BODY);
		try (Socket socket = send(request.substring(0, request.length() - 1))) {
			awaitOpenRequest();
			Thread stopper = new Thread(() -> this.server.stop(), "stopper");
			stopper.start();
			Thread.sleep(200);
			socket.getOutputStream().write(request.substring(request.length() - 1).getBytes(StandardCharsets.UTF_8));
			String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
			assertThat(response).contains("[DONE]");
			stopper.join();
		}
	}

	private void awaitOpenRequest() {
		for (long end = System.nanoTime() + 20_000_000_000L; this.fixture.openRequests().openCount() == 0
				&& System.nanoTime() < end;) {
			Thread.onSpinWait();
		}
		assertThat(this.fixture.openRequests().openCount()).isEqualTo(1);
	}

	// Guards against a request that stays open, with its engine memory, because its
	// caller keeps the connection open but reads nothing.
	@Test
	void callerThatDoesNotReadIsGivenUp() throws Exception {
		this.fixture.setOutput(2_000, "x".repeat(20_000));
		try (Socket socket = send(completion(BODY))) {
			readUntil(socket, "t1");
			for (long end = System.nanoTime() + 20_000_000_000L; this.fixture.openRequests().openCount() > 0
					&& System.nanoTime() < end;) {
				Thread.sleep(20);
			}
			assertThat(this.fixture.openRequests().openCount()).isEqualTo(0);
		}
	}

	// Guards against a response that is cut off by the time limit for bodies of requests
	// although its caller reads it, but more slowly than the socket reports.
	@Test
	void callerThatReadsSlowlyGetsItsWholeResponse() throws Exception {
		this.service.enqueue(new MockResponse.Builder().body("x".repeat(LARGE_BYTES)).build());
		try (Socket socket = send(head("GET /menu", 0, "Connection: close"))) {
			readUntil(socket, "\r\n\r\n");
			for (int pause = 0; pause < 20; pause++) {
				Thread.sleep(200);
				socket.getInputStream().skipNBytes(PART_BYTES);
			}
			socket.getInputStream().skipNBytes(LARGE_BYTES - 20 * PART_BYTES);
		}
	}

	// Guards against a pipelined request that is mistaken for a disconnect of the caller,
	// or that gets the response to another request.
	@Test
	void pipelinedRequestDoesNotDisturbTheOneBeforeIt() throws Exception {
		CountDownLatch blocked = new CountDownLatch(1);
		CountDownLatch checked = new CountDownLatch(1);
		this.fixture.onDecode(2, () -> {
			blocked.countDown();
			checked.await();
		});
		try (Socket socket = send(completion(BODY))) {
			blocked.await();
			String next = head("GET /v1/models", 0, "Connection: close");
			socket.getOutputStream().write(next.getBytes(StandardCharsets.UTF_8));
			this.disconnectMonitor.check();
			checked.countDown();
			String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
			assertThat(response).contains("[DONE]");
		}
	}

	// Guards against a check that takes the first byte of the next request, which callers
	// send as soon as they have the response, and so makes the server close the
	// connection.
	@Test
	void nextRequestOnTheConnectionIsAnswered() throws Exception {
		AtomicBoolean ended = new AtomicBoolean();
		Thread checks = new Thread(() -> {
			while (!ended.get()) {
				this.disconnectMonitor.check();
			}
		}, "checks");
		checks.start();
		try (Socket socket = send("")) {
			for (int index = 0; index < 500; index++) {
				this.service.enqueue(new MockResponse.Builder().body("soup").build());
				socket.getOutputStream().write(head("GET /menu", 0).getBytes(StandardCharsets.UTF_8));
				readUntil(socket, "soup");
			}
		}
		finally {
			ended.set(true);
			checks.join();
		}
	}

	// Guards against a booking that its caller sends again, because its service responded
	// with the status of a refusal after the run, or that runs again under its key.
	@Test
	void statusOfARefusalByAServiceIsNotPassedOn() throws IOException {
		this.service.enqueue(new MockResponse.Builder().code(503).body("not confirmed").build());
		String booking = head("POST /meals", 5, "Idempotency-Key: k") + "lunch";
		String response = sendAndReadAll(booking);
		assertThat(response).startsWith("HTTP/1.1 502");
		assertThat(response.toLowerCase(java.util.Locale.ROOT)).contains("x-skylark-verdict: may-have-run");
		assertThat(sendAndReadAll(booking)).startsWith("HTTP/1.1 409");
		assertThat(this.service.getRequestCount()).isEqualTo(1);
	}

	// Guards against a status that says that a request has not run, on a request whose
	// first attempt may have run.
	@Test
	void missingServerAfterAnAttemptIsNoRefusal() throws IOException {
		this.service.setDispatcher(new Dispatcher() {
			@Override
			public MockResponse dispatch(RecordedRequest request) {
				CallerApiTests.this.fixture
					.apply(new Ticket(3, "test", List.of(TicketChange.set(new BackendService("meals", List.of())))));
				return new MockResponse.Builder().onResponseStart(new SocketEffect.CloseSocket()).build();
			}
		});
		String response = sendAndReadAll(head("GET /menu", 0));
		assertThat(response).startsWith("HTTP/1.1 502");
		assertThat(response).contains("NO_ENGINE");
		assertThat(response.toLowerCase(java.util.Locale.ROOT)).contains("x-skylark-verdict: may-have-run");
	}

	// Guards against names in headers that lose their letters in either direction, so
	// that
	// two customers become one.
	@Test
	void headersOutsideAsciiArriveAsSent() throws Exception {
		for (String name : List.of("\u017di\u017eka", "\u0160i\u0161ka", "\u00c5\u00bd", "\u017d",
				"\u0938\u0902\u0918")) {
			this.service.enqueue(new MockResponse.Builder()
				.headers(new Headers.Builder().addUnsafeNonAscii("X-Customer", name).build())
				.body("soup")
				.build());
			String response = sendAndReadAll(head("GET /menu", 0, "X-Name: " + name));
			assertThat(response).startsWith("HTTP/1.1 200");
			assertThat(response).contains("X-Customer: " + name + "\r\n");
			assertThat(this.service.takeRequest().getHeaders().get("X-Name")).isEqualTo(name);
		}
	}

	// Guards against a header that reaches the service with other bytes, or fails as an
	// internal error that may have run.
	@Test
	void headerThatIsNotInUtf8IsRefused() throws IOException {
		try (Socket socket = new Socket("127.0.0.1", this.server.port())) {
			socket.getOutputStream()
				.write(head("GET /menu", 0, "X-Name: \u00e9", "Connection: close")
					.getBytes(StandardCharsets.ISO_8859_1));
			String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
			assertThat(response).startsWith("HTTP/1.1 431");
			assertThat(response).contains("X-Name");
		}
		assertThat(this.service.getRequestCount()).isEqualTo(0);
	}

	// Guards against two names in a query that reach the service as one.
	@Test
	void queryOutsideAsciiIsEncodedOrRefused() throws Exception {
		this.service.enqueue(new MockResponse.Builder().body("soup").build());
		assertThat(sendAndReadAll(head("GET /menu?name=\u017d", 0))).startsWith("HTTP/1.1 200");
		assertThat(this.service.takeRequest().getRequestLine()).startsWith("GET /menu?name=%C5%BD ");
		for (String name : List.of("\u00e9", "\u00e8")) {
			try (Socket socket = new Socket("127.0.0.1", this.server.port())) {
				socket.getOutputStream()
					.write(head("GET /menu?name=" + name, 0, "Connection: close")
						.getBytes(StandardCharsets.ISO_8859_1));
				String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
				assertThat(response).startsWith("HTTP/1.1 400");
			}
		}
		assertThat(this.service.getRequestCount()).isEqualTo(1);
	}

	// Guards against two names of a service's response that its caller gets as one.
	@Test
	void headerOfAResponseThatIsNotInUtf8IsDropped() throws IOException {
		this.service.enqueue(new MockResponse.Builder()
			.headers(new Headers.Builder().addUnsafeNonAscii("X-Customer", "a\ufffd").add("X-Menu", "soup").build())
			.body("soup")
			.build());
		String response = sendAndReadAll(head("GET /menu", 0));
		assertThat(response).contains("X-Menu: soup");
		assertThat(response).doesNotContain("X-Customer");
	}

	// Guards against a key in another script that its caller cannot use.
	@Test
	void keyIsReadAsUtf8() throws Exception {
		this.fixture.apply(new Ticket(3, "test",
				List.of(TicketChange.set(new ApiKey("utf8", Hashes.sha256("kl\u00ed\u010d"), "team")))));
		String request = head("GET /v1/models", 0);
		assertThat(sendAndReadAll(request.replace("Bearer key", "Bearer kl\u00ed\u010d"))).startsWith("HTTP/1.1 200");
		assertThat(sendAndReadAll(request.replace("Bearer key", "Bearer kl\u00ed\u010e"))).startsWith("HTTP/1.1 401");
		this.service.enqueue(new MockResponse.Builder().build());
		assertThat(sendAndReadAll(
				head("GET /menu", 0, "X-Copy: kl\u00ed\u010d").replace("Bearer key", "Bearer kl\u00ed\u010d")))
			.startsWith("HTTP/1.1 200");
		assertThat(this.service.takeRequest().getHeaders().get("X-Copy")).isNull();
	}

	// Guards against responses to HEAD that announce a body and never end.
	@Test
	void headAndEmptyResponsesPass() throws IOException {
		this.service.enqueue(new MockResponse.Builder().code(204).build());
		assertThat(sendAndReadAll(head("GET /menu", 0))).startsWith("HTTP/1.1 204");
		assertThat(sendAndReadAll(head("HEAD /menu", 0))).startsWith("HTTP/1.1 404");
	}

	// Guards against a failed stream that looks complete to the caller.
	@Test
	void streamThatFailsEndsWithAnErrorEventAndNoEndMarker() throws IOException {
		this.fixture.onDecode(2, this.fixture::withdrawKey);
		String response = sendAndReadAll(completion(BODY));
		assertThat(response).contains("KEY_WITHDRAWN");
		assertThat(response).contains("t2");
		assertThat(response).doesNotContain("[DONE]");
		assertThat(this.metrics.scrape()).contains("outcome=\"rejected\"");
	}

	// Guards against completed requests that the metrics, and so the error-budget report,
	// do not count.
	@Test
	void responsesAndLatenciesAreCounted() throws IOException {
		assertThat(sendAndReadAll(completion(BODY))).contains("[DONE]");
		String scrape = this.metrics.scrape();
		assertThat(scrape)
			.contains("class=\"interactive\",data_centre=\"dc\",outcome=\"answered\",service=\"model\"} 1.0");
		assertThat(scrape).contains("skylark_first_token_seconds_count{class=\"interactive\"} 1");
	}

	// Guards against a claimed stream that runs again, or returns another response, when
	// the caller retries it with the same key.
	@Test
	void reSentKeyedStreamIsReplayed() throws IOException {
		String request = completion(BODY, "Idempotency-Key: k1", "X-Skylark-Non-Idempotent: true");
		String first = sendAndReadAll(request);
		String second = sendAndReadAll(request);
		assertThat(first).contains("[DONE]");
		assertThat(second).contains("data: t1\n\ndata: t2\n\n");
		assertThat(second).contains("[DONE]");
		assertThat(this.fixture.decodes()).isEqualTo(1);
	}

	// Guards against an API key that reaches a backend server.
	@Test
	void openRouteNeedsNoKeyAndPassesNone() throws Exception {
		this.service.enqueue(new MockResponse.Builder().setHeader("X-Day", "monday").body("soup").build());
		String response = sendAndReadAll(head("GET /menu/today", 0));
		assertThat(response).contains("soup");
		assertThat(response).contains("X-Day: monday");
		assertThat(this.service.takeRequest().getHeaders().get("Authorization")).isNull();
		assertThat(sendAndReadAll(head("GET /meals", 0).replace("Bearer key", "Bearer other")))
			.startsWith("HTTP/1.1 401");
	}

	// Guards against a truncated response of a plain service that looks complete to the
	// caller.
	@Test
	void brokenServiceResponseBreaksTheConnection() throws IOException {
		this.service.enqueue(new MockResponse.Builder().chunkedBody("x".repeat(50_000), 1_000)
			.onResponseBody(new SocketEffect.CloseSocket())
			.build());
		String response = sendAndReadAll(head("GET /menu", 0));
		assertThat(response).doesNotContain("\r\n0\r\n\r\n");
	}

	// Guards against a booking that runs twice when the caller retries it with the same
	// key.
	@Test
	void keyedBookingRunsOnce() throws IOException {
		this.service.enqueue(new MockResponse.Builder().code(201).body("visit 9").build());
		String booking = head("POST /meals", 5, "Idempotency-Key: k2") + "lunch";
		assertThat(sendAndReadAll(booking)).contains("visit 9");
		String again = sendAndReadAll(booking);
		assertThat(again).startsWith("HTTP/1.1 201");
		assertThat(again).contains("visit 9");
		assertThat(sendAndReadAll(booking.replace("lunch", "extra"))).startsWith("HTTP/1.1 422");
		assertThat(this.service.getRequestCount()).isEqualTo(1);
	}

}
