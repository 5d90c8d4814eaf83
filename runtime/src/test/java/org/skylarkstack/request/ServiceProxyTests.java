package org.skylarkstack.request;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import mockwebserver3.Dispatcher;
import mockwebserver3.MockResponse;
import mockwebserver3.MockWebServer;
import mockwebserver3.RecordedRequest;
import mockwebserver3.SocketEffect;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.skylarkstack.configuration.BackendServer;
import org.skylarkstack.configuration.BackendService;
import org.skylarkstack.configuration.ConfigurationHolder;
import org.skylarkstack.configuration.Route;
import org.skylarkstack.configuration.Ticket;
import org.skylarkstack.configuration.TicketChange;
import org.skylarkstack.engine.BackendClients;
import org.skylarkstack.kernel.Cancellation;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.Exceptions;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.kernel.Verdict;

import static com.google.common.truth.Truth.assertThat;

class ServiceProxyTests implements ServiceResponseSink {

	private static final Route ROUTE = new Route("r", "/meals", Set.of("GET", "POST"), "meals", false, false);

	private final MockWebServer first = new MockWebServer();

	private final MockWebServer second = new MockWebServer();

	private final FakeTime time = new FakeTime();

	private final ConfigurationHolder configuration = new ConfigurationHolder();

	private final RetryBudget budget = new RetryBudget(this.time.nanos());

	private final BackendServerSelector serverSelector = new BackendServerSelector("dc");

	private final ShutdownSequence shutdown = new ShutdownSequence(2_000_000_000L, 3_000_000_000L, 1_000_000_000L);

	private final ServiceProxy proxy = new ServiceProxy(this.configuration, new BackendClients(2_000),
			this.serverSelector, this.budget, new RetryPolicy(this.budget), new ShutdownAdmission(this.shutdown), 2_000,
			this.time);

	private final FakeTableStore store = new FakeTableStore();

	private final IdempotencyClaims claims = new IdempotencyClaims(this.store, new ClaimWriteRetryQueue(this.store),
			this.time);

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private final List<Header> headers = new ArrayList<>();

	private int status;

	@BeforeEach
	void start() throws IOException {
		this.first.start();
		this.second.start();
		configure(1, false, false);
	}

	@AfterEach
	void stop() {
		assertThat(this.serverSelector.inFlight(url(this.first)) + this.serverSelector.inFlight(url(this.second)))
			.isEqualTo(0);
		this.first.close();
		this.second.close();
	}

	private static String url(MockWebServer server) {
		return "http://127.0.0.1:" + server.getPort();
	}

	private void configure(long ticket, boolean firstLeaves, boolean secondLeaves) {
		// The first server is in the data centre of this VM and is therefore preferred.
		BackendService service = new BackendService("meals",
				List.of(new BackendServer(url(this.first), "dc", firstLeaves),
						new BackendServer(url(this.second), "far", secondLeaves)));
		this.configuration
			.update((current) -> current.apply(new Ticket(ticket, "test", List.of(TicketChange.set(service)))));
	}

	private void run(String method, boolean idempotent) {
		run(method, "/meals/7?day=mon&x=%20", idempotent, null);
	}

	private void run(String method, String target, boolean idempotent,
			@org.jspecify.annotations.Nullable ClaimedRun claimed) {
		byte[] sent = "POST".equals(method) ? "lunch".getBytes(StandardCharsets.UTF_8) : new byte[0];
		this.proxy.run(new ServiceRequest(ROUTE, method, target, List.of(new Header("X-Term", "autumn")), sent,
				idempotent, new Cancellation()), claimed, this);
	}

	@Override
	public void begin(int newStatus, List<Header> newHeaders, long contentLength) {
		this.status = newStatus;
		this.headers.addAll(newHeaders);
	}

	@Override
	public void write(byte[] buffer, int length) {
		this.body.write(buffer, 0, length);
	}

	private static MockResponse ok() {
		return new MockResponse.Builder().code(201)
			.setHeader("X-Menu", "soup")
			.setHeader("Connection", "X-Hop")
			.setHeader("X-Hop", "1")
			.body("served")
			.build();
	}

	// Guards against requests and responses that are changed by the proxy.
	@Test
	void requestAndResponsePassUnchanged() throws InterruptedException {
		this.first.enqueue(ok());
		run("POST", true);
		RecordedRequest request = this.first.takeRequest();
		assertThat(request.getRequestLine()).isEqualTo("POST /meals/7?day=mon&x=%20 HTTP/1.1");
		assertThat(String.valueOf(request.getBody())).contains("lunch");
		assertThat(request.getHeaders().get("X-Term")).isEqualTo("autumn");
		assertThat(this.status).isEqualTo(201);
		assertThat(this.headers).contains(new Header("X-Menu", "soup"));
		assertThat(this.headers.stream().map(Header::name)).doesNotContain("X-Hop");
		assertThat(this.body.toString(StandardCharsets.UTF_8)).isEqualTo("served");
	}

	// Guards against a second run of a booking, whatever happens after the first byte was
	// sent.
	@Test
	void nonIdempotentRequestIsSentOnceOnANewConnection() throws InterruptedException {
		this.first.enqueue(ok());
		this.first.enqueue(new MockResponse.Builder().onResponseStart(new SocketEffect.CloseSocket()).build());
		run("POST", true);
		RouterException failure = Exceptions.assertThrows(RouterException.class, () -> run("POST", false));
		assertThat(failure.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
		this.first.takeRequest();
		assertThat(this.first.takeRequest().getExchangeIndex()).isEqualTo(0);
		assertThat(this.first.getRequestCount()).isEqualTo(2);
		assertThat(this.second.getRequestCount()).isEqualTo(0);
	}

	// Guards against a booking that runs twice, because its service responded with the
	// status of a refusal after the run: the router must not send the request again,
	// whatever Retry-After says, and its caller must not take it for one that has not
	// run.
	@ParameterizedTest
	@ValueSource(ints = { 408, 421, 429, 503 })
	void statusOfARefusalIsNotPassedOn(int refusal) {
		this.first.enqueue(new MockResponse.Builder().code(refusal).setHeader("Retry-After", "0").build());
		RouterException failure = Exceptions.assertThrows(RouterException.class, () -> run("POST", false));
		assertThat(failure.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
		assertThat(failure.httpStatus()).isEqualTo(502);
		assertThat(this.status).isEqualTo(0);
		assertThat(this.first.getRequestCount() + this.second.getRequestCount()).isEqualTo(1);
	}

	// Guards against an idempotent request that fails although another server has its
	// response.
	@Test
	void idempotentRequestIsRetriedAfterTheStatusOfARefusal() {
		this.first.enqueue(new MockResponse.Builder().code(503).build());
		this.second.enqueue(ok());
		run("GET", true);
		assertThat(this.status).isEqualTo(201);
	}

	// Guards against a refusal of the last attempt that hides an earlier one that may
	// have
	// run.
	@Test
	void missingServerAfterAnAttemptIsNoRefusal() {
		this.first.setDispatcher(new Dispatcher() {
			@Override
			public MockResponse dispatch(RecordedRequest request) {
				configure(2, true, true);
				return new MockResponse.Builder().code(503).build();
			}
		});
		RouterException failure = Exceptions.assertThrows(RouterException.class, () -> run("GET", true));
		assertThat(failure.type()).isEqualTo(ErrorType.NO_ENGINE);
		assertThat(failure.httpStatus()).isEqualTo(502);
	}

	// Guards against replacing an error by which no caller sends its request again.
	@ParameterizedTest
	@ValueSource(ints = { 400, 404, 409, 500, 502, 504 })
	void otherErrorsArePassedOn(int error) {
		this.first.enqueue(new MockResponse.Builder().code(error).body("sorry").build());
		run("POST", false);
		assertThat(this.status).isEqualTo(error);
		assertThat(this.body.toString(StandardCharsets.UTF_8)).isEqualTo("sorry");
	}

	// Guards against failing a request on a refused connection although another server is
	// available.
	@Test
	void unreachableServerIsReplacedEvenForNonIdempotentRequests() {
		this.first.close();
		this.second.enqueue(ok());
		run("POST", false);
		assertThat(this.status).isEqualTo(201);
	}

	// Guards against failing an idempotent read because one server does not respond.
	@Test
	void idempotentRequestIsRetriedOnAnotherServer() {
		this.first.enqueue(new MockResponse.Builder().onResponseStart(SocketEffect.Stall.INSTANCE).build());
		this.second.enqueue(ok());
		this.second.enqueue(ok());
		run("GET", true);
		run("GET", true);
		assertThat(this.second.getRequestCount()).isEqualTo(2);
	}

	// Guards against retries that exceed the budget.
	@Test
	void retriesEndWithTheBudget() {
		while (this.budget.tryRetry(this.time.nanos())) {
			// Uses up the budget.
		}
		this.first.enqueue(new MockResponse.Builder().onResponseStart(new SocketEffect.CloseSocket()).build());
		Exceptions.assertThrows(RouterException.class, () -> run("GET", true));
		assertThat(this.second.getRequestCount()).isEqualTo(0);
	}

	// Guards against a retry that a shutdown would end.
	@Test
	void retryThatCannotBeCompleteInTimeIsNotSent() {
		this.shutdown.begin(this.time.nanos());
		this.first.setDispatcher(new Dispatcher() {
			@Override
			public MockResponse dispatch(RecordedRequest request) {
				ServiceProxyTests.this.time.advanceMillis(4_500);
				return new MockResponse.Builder().onResponseStart(new SocketEffect.CloseSocket()).build();
			}
		});
		RouterException failure = Exceptions.assertThrows(RouterException.class, () -> run("GET", true));
		assertThat(failure.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
		assertThat(this.second.getRequestCount()).isEqualTo(0);
		assertThat(Exceptions.assertThrows(RouterException.class, () -> run("GET", true)).verdict())
			.isEqualTo(Verdict.NOT_RUN);
	}

	// Guards against new requests on a server that is leaving.
	@Test
	void leavingServersGetNoRequests() {
		configure(2, true, false);
		this.second.enqueue(ok());
		run("GET", true);
		assertThat(this.first.getRequestCount()).isEqualTo(0);
		configure(3, true, true);
		assertThat(Exceptions.assertThrows(RouterException.class, () -> run("GET", true)).verdict())
			.isEqualTo(Verdict.NOT_RUN);
	}

	// Guards against paths that point outside the prefix of their route.
	@Test
	void pathThatIsNotNormalIsRefused() {
		for (String target : List.of("/meals/../admin", "/meals/%2e%2e/admin", "/meals/./x")) {
			RouterException failure = Exceptions.assertThrows(RouterException.class,
					() -> run("GET", target, true, null));
			assertThat(failure.type()).isEqualTo(ErrorType.BAD_REQUEST);
		}
		assertThat(this.first.getRequestCount()).isEqualTo(0);
	}

	private ClaimedRun claim(String attempt) {
		Claim claim = Claim.of("team", "key", "hash", attempt);
		assertThat(this.claims.claim(claim).isEmpty()).isTrue();
		return new ClaimedRun(this.claims, claim);
	}

	// Guards against an outcome that is lost because the caller has disconnected when the
	// response arrives.
	@Test
	void outcomeIsRecordedBeforeTheCallerGetsTheResponse() {
		this.first.enqueue(ok());
		run("POST", "/meals/7", false, claim("a1"));
		assertThat(this.claims.claim(Claim.of("team", "key", "hash", "a2")).orElseThrow().status()).isEqualTo(201);
	}

	// Guards against losing bytes of a response that is too large to be stored.
	@Test
	void largeResponseIsForwardedCompletelyButNotStored() {
		String large = "x".repeat(3 * StoredResponse.MAX_BODY_BYTES);
		this.first.enqueue(new MockResponse.Builder().body(large).build());
		run("POST", "/meals/7", false, claim("a1"));
		assertThat(this.body.size()).isEqualTo(large.length());
		assertThat(Exceptions.assertThrows(RouterException.class, () -> claim("a2")).type())
			.isEqualTo(ErrorType.ANSWER_NOT_KEPT);
	}

	// Guards against forwarding the caller's credentials to a backend server.
	@Test
	void credentialsAreNotForwarded() {
		List<Header> sent = List.of(new Header("AUTHORIZATION", "Bearer secret"), new Header("x-api-key", "other"),
				new Header("X-Debug", "key=secret"), new Header("Proxy-Authorization", "x"),
				new Header("Connection", "close, X-Hop"), new Header("x-hop", "1"), new Header("X-Skylark-Test", "1"),
				new Header("Accept", "text/plain"), new Header("Cookie", "menu=soup"));
		assertThat(HeaderFilter.towardsService(sent, "secret").stream().map(Header::name))
			.containsExactly("Accept", "Cookie")
			.inOrder();
	}

}
