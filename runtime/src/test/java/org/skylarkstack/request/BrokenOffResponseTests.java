package org.skylarkstack.request;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

import org.junit.jupiter.api.AfterEach;
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
import org.skylarkstack.kernel.Exceptions;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.kernel.Verdict;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link ServiceProxy} with a server that breaks its response off.
 */
class BrokenOffResponseTests implements ServiceResponseSink {

	private static final Route ROUTE = new Route("r", "/meals", Set.of("POST"), "meals", false, true);

	private static final String OK = "HTTP/1.1 200 OK\r\n";

	private static final int READ_BYTES = 100;

	private static final int LONG_BODY_BYTES = 16 * 1024 * 1024;

	private final ServerSocket listener = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());

	private final ExecutorService threads = Executors.newCachedThreadPool();

	private final ConfigurationHolder configuration = new ConfigurationHolder();

	private final FakeTime time = new FakeTime();

	private final RetryBudget budget = new RetryBudget(this.time.nanos());

	private final ServiceProxy proxy = new ServiceProxy(this.configuration, new BackendClients(2_000),
			new BackendServerSelector("dc"), this.budget, new RetryPolicy(this.budget),
			new ShutdownAdmission(new ShutdownSequence(0, 0, 0)), 2_000, this.time);

	private final ByteArrayOutputStream received = new ByteArrayOutputStream();

	BrokenOffResponseTests() throws IOException {
		BackendService service = new BackendService("meals",
				List.of(new BackendServer("http://127.0.0.1:" + this.listener.getLocalPort(), "dc", false)));
		this.configuration
			.update((current) -> current.apply(new Ticket(1, "test", List.of(TicketChange.set(service)))));
	}

	@AfterEach
	void close() throws IOException {
		this.listener.close();
		this.threads.shutdownNow();
	}

	@Override
	public void begin(int status, List<Header> headers, long contentLength) {
	}

	@Override
	public void write(byte[] buffer, int length) {
		this.received.write(buffer, 0, length);
	}

	// Sends a response without having read the request, and resets the connection.
	private void respondAndReset(String response) {
		respondAndReset(response, false);
	}

	private void respondAndReset(String response, boolean endsOutput) {
		this.threads.execute(() -> {
			try (Socket socket = this.listener.accept()) {
				socket.getInputStream().readNBytes(READ_BYTES);
				socket.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
				socket.getOutputStream().flush();
				if (endsOutput) {
					socket.shutdownOutput();
				}
				Thread.sleep(100);
				socket.setSoLinger(true, 0);
			}
			catch (IOException | InterruptedException ex) {
				// The proxy closed the connection.
			}
		});
	}

	private void run(int bodyBytes) {
		this.proxy.run(new ServiceRequest(ROUTE, "POST", "/meals/7", List.of(), new byte[bodyBytes], false,
				new Cancellation()), null, this);
	}

	/**
	 * Guards against treating a response without a length as complete when the server
	 * resets the connection while the request is still being sent: the failed write takes
	 * the error from the socket, and a read then reports the end of the response.
	 */
	@Test
	void resetResponseToARequestThatIsBeingSentIsIncomplete() {
		respondAndReset(OK + "\r\nhello");
		RouterException failure = Exceptions.assertThrows(RouterException.class, () -> run(LONG_BODY_BYTES));
		assertThat(failure.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
	}

	/**
	 * Guards against treating a response without a length as complete when the server
	 * ends its output in the middle of the request and resets the connection after that.
	 */
	@Test
	void responseThatEndsBeforeTheRequestHasBeenSentIsIncomplete() {
		respondAndReset(OK + "\r\nhello", true);
		RouterException failure = Exceptions.assertThrows(RouterException.class, () -> run(LONG_BODY_BYTES));
		assertThat(failure.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
	}

	/** Guards against passing on a response whose status line HTTP does not allow. */
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 -20 OK",
			"HTTP/1.1 +20 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 20 OK", "HTTP/2.0 200 OK", "RTSP/1.0 200 OK" })
	void invalidStatusLineIsNoResponse(String statusLine) {
		respondAndClose(statusLine + "\r\nContent-Length: 5\r\n\r\nhello");
		RouterException failure = Exceptions.assertThrows(RouterException.class, () -> run(READ_BYTES));
		assertThat(failure.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
		assertThat(this.received.size()).isEqualTo(0);
	}

	/**
	 * Guards against passing on a response of another protocol, which OkHttp takes for a
	 * response of HTTP/1.0.
	 */
	@Test
	void statusLineOfAnAudioStreamIsNoResponse() {
		respondAndClose("ICY 200 OK\r\nContent-Length: 5\r\n\r\nhello");
		RouterException failure = Exceptions.assertThrows(RouterException.class, () -> run(READ_BYTES));
		assertThat(failure.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
	}

	private void respondAndClose(String response) {
		this.threads.execute(() -> {
			try (Socket socket = this.listener.accept()) {
				socket.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
				socket.shutdownOutput();
				socket.getInputStream().readAllBytes();
			}
			catch (IOException ex) {
				// The proxy closed the connection.
			}
		});
	}

	/**
	 * Guards against a stream that was broken off inside an event and that the caller
	 * receives as a complete one.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "\r\n", "Content-Length: 20\r\n\r\n" })
	void streamThatEndsInsideAnEventIsIncomplete(String endOfHead) {
		respondAndClose(OK + "Content-Type: text/event-stream\r\n" + endOfHead + "id: 1\ndata: a\n\nid: 2");
		RouterException failure = Exceptions.assertThrows(RouterException.class, () -> run(READ_BYTES));
		assertThat(failure.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
	}

	/** Guards against a complete stream that is treated as broken off. */
	@Test
	void streamThatEndsWithAnEventIsComplete() {
		String events = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n";
		respondAndClose(OK + "Content-Type: text/event-stream\r\n\r\n" + events);
		run(READ_BYTES);
		assertThat(this.received.toString(StandardCharsets.UTF_8)).isEqualTo(events);
	}

	/** Guards against a complete response that is lost with the rest of the request. */
	@Test
	void responseWithItsLengthIsCompleteAlthoughTheRequestWasNotRead() {
		respondAndReset(OK + "Content-Length: 5\r\n\r\nhello");
		run(LONG_BODY_BYTES);
		assertThat(this.received.toString(StandardCharsets.UTF_8)).isEqualTo("hello");
	}

}
