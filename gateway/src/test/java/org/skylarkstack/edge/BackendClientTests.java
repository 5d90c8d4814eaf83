package org.skylarkstack.edge;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link BackendClient} against a plain socket that sends correct and faulty
 * responses.
 */
class BackendClientTests {

	private static final int TIMEOUT_MILLIS = 5_000;

	private static final int LONG_BODY_BYTES = 16 * 1024 * 1024;

	private static final int READ_BYTES = 1_000;

	private static final String OK = "HTTP/1.1 200 OK\r\nX-Id: mine\r\n";

	private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final BackendClient client = new BackendClient(this.group.next(), 500);

	private final BlockingQueue<String> outcome = new LinkedBlockingQueue<>();

	private ServerSocket listener = unbound();

	private static ServerSocket unbound() {
		try {
			return new ServerSocket();
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	@BeforeEach
	void listen() throws IOException {
		this.listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
	}

	@AfterEach
	void close() throws IOException {
		this.listener.close();
		this.group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
	}

	private String call(String response, boolean reset) throws Exception {
		BackendRequest request = new BackendRequest((InetSocketAddress) this.listener.getLocalSocketAddress(), "POST",
				"/a", new DefaultHttpHeaders().set("X-Id", "mine"), "body".getBytes(StandardCharsets.UTF_8), "X-Id");
		this.group.next().execute(() -> this.client.call(request, new Recorder()));
		try (Socket socket = this.listener.accept()) {
			socket.setSoTimeout(TIMEOUT_MILLIS);
			byte[] buffer = new byte[1_000];
			StringBuilder received = new StringBuilder();
			while (!received.toString().endsWith("\r\n\r\nbody")) {
				int length = socket.getInputStream().read(buffer);
				received.append(new String(buffer, 0, length, StandardCharsets.UTF_8));
			}
			socket.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
			socket.getOutputStream().flush();
			Thread.sleep(100);
			if (reset) {
				socket.setSoLinger(true, 0);
			}
		}
		return String.valueOf(this.outcome.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
	}

	/**
	 * Guards against a prepared connection that is not the one on which the call is sent.
	 */
	@Test
	void callIsSentOnThePreparedConnection() throws Exception {
		BlockingQueue<Boolean> prepared = new LinkedBlockingQueue<>();
		BackendRequest request = new BackendRequest((InetSocketAddress) this.listener.getLocalSocketAddress(), "GET",
				"/a", new DefaultHttpHeaders().set("X-Id", "mine"), new byte[0], "X-Id");
		PreparedConnection connection = this.group.next()
			.submit(() -> this.client.prepare(request.address(), TIMEOUT_MILLIS, prepared::add))
			.get();
		assertThat(prepared.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
		try (Socket socket = this.listener.accept()) {
			this.group.next().execute(() -> this.client.call(request, new Recorder(), connection));
			socket.setSoTimeout(TIMEOUT_MILLIS);
			assertThat(socket.getInputStream().read()).isEqualTo('G');
			socket.getOutputStream().write((OK + "Content-Length: 2\r\n\r\nok").getBytes(StandardCharsets.UTF_8));
			assertThat(this.outcome.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).contains("ok");
		}
	}

	/**
	 * Guards against a prompt that is processed for an engine that accepts no connection.
	 */
	@Test
	void unreachableServerIsReportedBeforeTheCall() throws Exception {
		InetSocketAddress address = (InetSocketAddress) this.listener.getLocalSocketAddress();
		this.listener.close();
		BlockingQueue<Boolean> prepared = new LinkedBlockingQueue<>();
		this.group.next().execute(() -> this.client.prepare(address, TIMEOUT_MILLIS, prepared::add));
		assertThat(prepared.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isFalse();
	}

	/**
	 * Guards against a call that never ends, and against the verdict "may have run", when
	 * the server has closed the prepared connection before the request was sent.
	 */
	@Test
	void callOnAClosedPreparedConnectionFailsAsNotRun() throws Exception {
		BlockingQueue<Boolean> prepared = new LinkedBlockingQueue<>();
		BackendRequest request = new BackendRequest((InetSocketAddress) this.listener.getLocalSocketAddress(), "GET",
				"/a", new DefaultHttpHeaders(), new byte[0], null);
		PreparedConnection connection = this.group.next()
			.submit(() -> this.client.prepare(request.address(), TIMEOUT_MILLIS, prepared::add))
			.get();
		assertThat(prepared.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
		this.listener.accept().close();
		while (!this.group.next().submit(connection::hasFailed).get()) {
			Thread.sleep(5);
		}
		this.group.next().execute(() -> this.client.call(request, new Recorder(), connection));
		assertThat(this.outcome.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).contains("NOT_RUN");
	}

	/**
	 * Guards against treating a response without a length as incomplete when the server
	 * ends it by closing the connection.
	 */
	@Test
	void responseWithoutLengthEndsWhenServerCloses() throws Exception {
		assertThat(call(OK + "\r\nhello", false)).isEqualTo("200 hello");
	}

	/**
	 * Guards against treating a response without a length as complete when the server
	 * resets the connection.
	 */
	@Test
	void resetResponseIsIncomplete() throws Exception {
		assertThat(call(OK + "\r\nhello", true)).isEqualTo("BROKEN MAY_HAVE_RUN");
	}

	// The server reads only the head of a request that is longer than all buffers on its
	// way, responds, and resets the connection.
	private String callWithUnreadBody(String response) throws Exception {
		return callWithUnreadBody(response, false);
	}

	private String callWithUnreadBody(String response, boolean endsOutput) throws Exception {
		BackendRequest request = new BackendRequest((InetSocketAddress) this.listener.getLocalSocketAddress(), "POST",
				"/a", new DefaultHttpHeaders().set("X-Id", "mine"), new byte[LONG_BODY_BYTES], "X-Id");
		this.group.next().execute(() -> this.client.call(request, new Recorder()));
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
		return String.valueOf(this.outcome.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
	}

	/**
	 * Guards against treating a response without a length as complete when the server
	 * resets the connection while the request is still being sent: the write fails before
	 * the reset is read.
	 */
	@Test
	void resetResponseToARequestThatIsBeingSentIsIncomplete() throws Exception {
		assertThat(callWithUnreadBody(OK + "\r\nhello")).isEqualTo("BROKEN MAY_HAVE_RUN");
		assertThat(callWithUnreadBody(OK + "Content-Length: 10\r\n\r\nhello")).isEqualTo("BROKEN MAY_HAVE_RUN");
		assertThat(callWithUnreadBody(OK + "Content-Length: 5\r\n\r\nhello")).isEqualTo("200 hello");
	}

	/**
	 * Guards against treating a response without a length as complete when the server
	 * ends its output in the middle of the request and resets the connection after that.
	 */
	@Test
	void responseThatEndsBeforeTheRequestHasBeenSentIsIncomplete() throws Exception {
		assertThat(callWithUnreadBody(OK + "\r\nhello", true)).isEqualTo("BROKEN MAY_HAVE_RUN");
		assertThat(callWithUnreadBody(OK + "Content-Length: 5\r\n\r\nhello", true)).isEqualTo("200 hello");
	}

	/**
	 * Guards against treating a response as complete when the server closes the
	 * connection before the content length or the last chunk is reached.
	 */
	@Test
	void truncatedResponseIsIncomplete() throws Exception {
		assertThat(call(OK + "Content-Length: 10\r\n\r\nhello", false)).isEqualTo("BROKEN MAY_HAVE_RUN");
		assertThat(call(OK + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n", false))
			.isEqualTo("BROKEN MAY_HAVE_RUN");
	}

	/**
	 * Guards against passing a second response on to the caller, which a server sends
	 * after the complete first one.
	 */
	@Test
	void bytesAfterResponseAreIgnored() throws Exception {
		assertThat(call(OK + "Content-Length: 5\r\n\r\nhello" + OK + "Content-Length: 5\r\n\r\nother", false))
			.isEqualTo("200 hello");
	}

	/**
	 * Guards against accepting a response that carries the identifier of another request.
	 */
	@Test
	void responseWithOtherRequestIdIsSkipped() throws Exception {
		String foreign = "HTTP/1.1 200 OK\r\nX-Id: theirs\r\nContent-Length: 5\r\n\r\nother";
		assertThat(call(foreign + OK + "Content-Length: 5\r\n\r\nhello", false)).isEqualTo("200 hello");
		assertThat(call(foreign, false)).isEqualTo("BROKEN MAY_HAVE_RUN");
	}

	/** Guards against accepting bytes that are not an HTTP response. */
	@Test
	void invalidResponseIsReportedAsMalformed() throws Exception {
		assertThat(call("\u0001\u0002 nonsense\r\n\r\n", false)).isEqualTo("MALFORMED MAY_HAVE_RUN");
	}

	/** Guards against passing on a response whose status line HTTP does not allow. */
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 0200 OK",
			"HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2OO OK", "HTTP/1.1",
			"HTTP/1.1  OK", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK", "RTSP/1.0 200 OK" })
	void invalidStatusLineIsReportedAsMalformed(String statusLine) throws Exception {
		assertThat(call(statusLine + "\r\nContent-Length: 5\r\n\r\nhello", false)).isEqualTo("MALFORMED MAY_HAVE_RUN");
	}

	/** Guards against rejecting status lines that HTTP allows. */
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200", "HTTP/1.1 200 ", "HTTP/1.0 200 OK", "HTTP/1.1 200 Not so bad" })
	void validStatusLineIsAccepted(String statusLine) throws Exception {
		assertThat(call(statusLine + "\r\nContent-Length: 5\r\n\r\nhello", false)).isEqualTo("200 hello");
	}

	/** Guards against a response to HEAD that waits for the body that it announces. */
	@Test
	void responseToHeadHasNoBody() throws Exception {
		BackendRequest request = new BackendRequest((InetSocketAddress) this.listener.getLocalSocketAddress(), "HEAD",
				"/a", new DefaultHttpHeaders(), new byte[0], null);
		this.group.next().execute(() -> this.client.call(request, new Recorder()));
		try (Socket socket = this.listener.accept()) {
			socket.getOutputStream().write((OK + "Content-Length: 5\r\n\r\n").getBytes(StandardCharsets.UTF_8));
			assertThat(this.outcome.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isEqualTo("200 ");
		}
	}

	/**
	 * Guards against reporting that a request may have run when the connection was
	 * refused and nothing was sent.
	 */
	@Test
	void refusedConnectionIsReportedAsNotRun() throws Exception {
		InetSocketAddress address = (InetSocketAddress) this.listener.getLocalSocketAddress();
		this.listener.close();
		this.group.next()
			.execute(() -> this.client.call(
					new BackendRequest(address, "GET", "/a", new DefaultHttpHeaders(), new byte[0], null),
					new Recorder()));
		assertThat(this.outcome.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isEqualTo("UNREACHABLE NOT_RUN");
	}

	/**
	 * Listener that records the response or the failure as text.
	 */
	private final class Recorder implements BackendListener {

		private final StringBuilder text = new StringBuilder();

		@Override
		public void head(int status, HttpHeaders headers) {
			this.text.append(status).append(' ');
		}

		@Override
		public void data(byte[] part) {
			this.text.append(new String(part, StandardCharsets.UTF_8));
		}

		@Override
		public void ended() {
			BackendClientTests.this.outcome.add(this.text.toString());
		}

		@Override
		public void failed(BackendFailure failure) {
			BackendClientTests.this.outcome.add(failure.kind() + " " + failure.verdict());
		}

	}

}
