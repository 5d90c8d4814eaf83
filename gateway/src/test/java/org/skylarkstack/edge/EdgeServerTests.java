package org.skylarkstack.edge;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link EdgeServer} with callers on plain sockets.
 */
class EdgeServerTests {

	private static final int READ_TIMEOUT_MILLIS = 5_000;

	// More than the socket buffers of both ends hold.
	private static final int LARGE_BYTES = 32 * 1024 * 1024;

	private static final int BODY_BUDGET_BYTES = 1_000_000;

	private static final int BODY_BYTES = 300_000;

	private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final BlockingQueue<String> events = new LinkedBlockingQueue<>();

	private final Deque<CallerResponse> held = new ArrayDeque<>();

	private EdgeLimits limits = new EdgeLimits(2_048, 1_000, 300, 10_000);

	private final RequestBodyBudget bodyBudget = new RequestBodyBudget(BODY_BUDGET_BYTES);

	private EdgeServer server = new EdgeServer(this.group.next(), this::handle, () -> this.limits, this.bodyBudget);

	private InetSocketAddress address = new InetSocketAddress(0);

	@BeforeEach
	void listen() throws IOException {
		try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			this.address = new InetSocketAddress(InetAddress.getLoopbackAddress(), free.getLocalPort());
		}
		this.server.listen(this.address, this.group);
	}

	@AfterEach
	void close() {
		this.group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
	}

	private void handle(CallerRequest request, CallerResponse response) {
		this.events.add(request.method() + " " + request.target() + " " + request.body().length);
		response.onDisconnect(() -> this.events.add("gone"));
		if (request.target().startsWith("/hold")) {
			this.held.add(response);
		}
		else if (request.target().startsWith("/stream")) {
			response.start(200, new DefaultHttpHeaders());
			response.write("part".getBytes(StandardCharsets.UTF_8));
			response.abort();
		}
		else if (request.target().startsWith("/awaited/parts")) {
			response.awaitedUntil(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READ_TIMEOUT_MILLIS));
			response.start(200, new DefaultHttpHeaders());
			for (int part = 0; part < LARGE_BYTES; part += BODY_BYTES) {
				response.write(new byte[BODY_BYTES]);
			}
			response.finish();
		}
		else if (request.target().startsWith("/awaited")) {
			response.awaitedUntil(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READ_TIMEOUT_MILLIS));
			response.send(200, new DefaultHttpHeaders(), new byte[LARGE_BYTES]);
		}
		else if (request.target().startsWith("/large")) {
			response.send(200, new DefaultHttpHeaders(), new byte[LARGE_BYTES]);
		}
		else {
			response.send(200, new DefaultHttpHeaders(), request.target().getBytes(StandardCharsets.UTF_8));
		}
	}

	private Socket connect(String text) throws IOException {
		Socket socket = new Socket();
		socket.connect(this.address);
		socket.setSoTimeout(READ_TIMEOUT_MILLIS);
		socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
		return socket;
	}

	private static String readAll(Socket socket) throws IOException {
		return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
	}

	private static String readSome(Socket socket, String until) throws IOException {
		InputStream in = socket.getInputStream();
		StringBuilder text = new StringBuilder();
		while (!text.toString().contains(until)) {
			int next = in.read();
			if (next < 0) {
				break;
			}
			text.append((char) next);
		}
		return text.toString();
	}

	private String event() throws InterruptedException {
		return String.valueOf(this.events.poll(READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS));
	}

	/**
	 * Guards against further work on a request whose caller has closed its connection.
	 */
	@Test
	void callerDisconnectDuringRequestIsReported() throws Exception {
		Socket socket = connect("GET /hold HTTP/1.1\r\nHost: x\r\n\r\n");
		assertThat(event()).isEqualTo("GET /hold 0");
		socket.close();
		assertThat(event()).isEqualTo("gone");
	}

	private static String post(String path, boolean chunked, int bytes) {
		String body = "x".repeat(bytes);
		return "POST %s HTTP/1.1\r\nHost: x\r\n".formatted(path)
				+ (chunked ? "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n".formatted(bytes, body)
						: "Content-Length: %d\r\n\r\n%s".formatted(bytes, body));
	}

	private long reservedBytes() throws Exception {
		return this.group.next().submit(this.bodyBudget::totalBytes).get();
	}

	/**
	 * Guards against request bodies that fill the heap together, so that requests of
	 * other callers are closed without an answer.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void aBodyThatExceedsTheCommonBoundIsRefusedAsNotRun(boolean chunked) throws Exception {
		this.limits = new EdgeLimits(2_048, 1_000_000, 5_000, 10_000);
		try (Socket first = connect(post("/hold", chunked, BODY_BYTES));
				Socket second = connect(post("/hold", chunked, BODY_BYTES))) {
			assertThat(event()).isEqualTo("POST /hold " + BODY_BYTES);
			assertThat(event()).isEqualTo("POST /hold " + BODY_BYTES);
			try (Socket third = connect(post("/third", chunked, BODY_BYTES))) {
				assertThat(readAll(third)).matches("(?s)HTTP/1.1 503 .*retry-after: 1\r\n.*");
			}
			try (Socket small = connect(post("/small", chunked, 500))) {
				assertThat(readSome(small, "/small")).startsWith("HTTP/1.1 200 ");
			}
			assertThat(event()).isEqualTo("POST /small 500");
			this.group.next().execute(() -> this.held.remove().send(200, new DefaultHttpHeaders(), new byte[0]));
			assertThat(readSome(first, "\r\n\r\n")).startsWith("HTTP/1.1 200 ");
			try (Socket fourth = connect(post("/fourth", chunked, BODY_BYTES))) {
				assertThat(readSome(fourth, "/fourth")).startsWith("HTTP/1.1 200 ");
			}
			assertThat(reservedBytes()).isEqualTo(BODY_BYTES);
		}
	}

	/**
	 * Guards against memory that stays reserved: for connections that stay open, for
	 * pipelined requests, and for callers that disconnect or send too much.
	 */
	@Test
	void theMemoryOfABodyIsReleasedHoweverTheRequestEnds() throws Exception {
		this.limits = new EdgeLimits(2_048, 1_000_000, 5_000, 10_000);
		try (Socket kept = connect(post("/first", false, BODY_BYTES) + post("/second", true, BODY_BYTES))) {
			assertThat(readSome(kept, "/second")).contains("/first");
			assertThat(reservedBytes()).isEqualTo(0);
		}
		try (Socket unanswered = connect(post("/hold", false, 100_000) + post("/behind", false, 100_000));
				Socket unfinished = connect("POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: 400000\r\n\r\nx")) {
			await(600_000);
		}
		await(0);
		this.limits = new EdgeLimits(2_048, 1_000, 5_000, 10_000);
		try (Socket tooLarge = connect(post("/x", true, 1_001))) {
			assertThat(readAll(tooLarge)).startsWith("HTTP/1.1 413 ");
		}
		await(0);
	}

	private void await(long reservedBytes) throws Exception {
		long start = System.nanoTime();
		while (reservedBytes() != reservedBytes) {
			assertThat(System.nanoTime() - start).isLessThan(TimeUnit.MILLISECONDS.toNanos(READ_TIMEOUT_MILLIS));
			Thread.sleep(20);
		}
	}

	/**
	 * Guards against losing a pipelined request, and against handling it or sending its
	 * response before the previous response is complete.
	 */
	@Test
	void pipelinedRequestsAreAnsweredInOrder() throws Exception {
		try (Socket socket = connect("GET /hold HTTP/1.1\r\nHost: x\r\n\r\nGET /second HTTP/1.1\r\nHost: x\r\n\r\n")) {
			assertThat(event()).isEqualTo("GET /hold 0");
			assertThat(this.events.poll(100, TimeUnit.MILLISECONDS)).isNull();
			this.group.next()
				.execute(() -> this.held.remove()
					.send(200, new DefaultHttpHeaders(), "first".getBytes(StandardCharsets.UTF_8)));
			String text = readSome(socket, "/second");
			assertThat(text.indexOf("first")).isLessThan(text.indexOf("/second"));
			assertThat(event()).isEqualTo("GET /second 0");
		}
	}

	/**
	 * Guards against request smuggling: a second request hidden in the body of a request
	 * that states both a content length and a chunked encoding.
	 */
	@Test
	void requestWithLengthAndChunkedEncodingIsRejected() throws Exception {
		try (Socket socket = connect(
				"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
						+ "0\r\n\r\nGET /smuggled HTTP/1.1\r\nHost: x\r\n\r\n")) {
			assertThat(readAll(socket)).startsWith("HTTP/1.1 400");
			assertThat(this.events).isEmpty();
		}
	}

	/** Guards against running out of memory because of a large body. */
	@Test
	void tooLargeBodyIsRejected() throws Exception {
		try (Socket socket = connect(
				"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 2000\r\n\r\n" + "x".repeat(2_000))) {
			assertThat(readAll(socket)).startsWith("HTTP/1.1 413");
			assertThat(this.events).isEmpty();
		}
	}

	/** Guards against running out of memory because of large headers. */
	@Test
	void tooLargeHeadersAreRejected() throws Exception {
		try (Socket socket = connect("GET /a HTTP/1.1\r\nHost: x\r\nLong: " + "x".repeat(3_000) + "\r\n\r\n")) {
			assertThat(readAll(socket)).startsWith("HTTP/1.1 431");
		}
	}

	private static String get(String path, int fieldBytes) {
		return "GET %s HTTP/1.1\r\nHost: x\r\nA: %s\r\n\r\n".formatted(path,
				"n".repeat(fieldBytes - "Host: xA: ".length()));
	}

	/**
	 * Guards against a connection that keeps the header limit of the configuration in
	 * force when it was accepted.
	 */
	@Test
	void aKeptConnectionFollowsTheHeaderLimit() throws Exception {
		try (Socket socket = connect(get("/first", 2_048))) {
			assertThat(readSome(socket, "/first")).startsWith("HTTP/1.1 200 ");
			this.limits = new EdgeLimits(40_000, 1_000, 300, 10_000);
			socket.getOutputStream().write(get("/raised", 40_000).getBytes(StandardCharsets.UTF_8));
			assertThat(readSome(socket, "/raised")).startsWith("HTTP/1.1 200 ");
			this.limits = new EdgeLimits(1_000, 1_000, 300, 10_000);
			socket.getOutputStream().write(get("/lowered", 1_001).getBytes(StandardCharsets.UTF_8));
			assertThat(readAll(socket)).startsWith("HTTP/1.1 431 ");
		}
	}

	/**
	 * Guards against refusing a request because a configuration lowers a limit while it
	 * arrives.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "GET /a HTTP/1.1\r\nHost: x\r\nA: %s|%s\r\n\r\n",
			"POST /a HTTP/1.1\r\nContent-Length: 1600\r\n\r\n%s|%s",
			"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n320\r\n%s\r\n|320\r\n%s\r\n0\r\n\r\n" })
	void aRequestKeepsTheSizesThatItBeganWith(String request) throws Exception {
		lowerBetweenHalves(request, new EdgeLimits(1_000, 1_000, 2_000, 10_000));
	}

	/**
	 * Guards against refusing a request as late because a configuration lowers the time
	 * limit while it arrives.
	 */
	@Test
	void aRequestKeepsTheTimeThatItBeganWith() throws Exception {
		lowerBetweenHalves("POST /a HTTP/1.1\r\nContent-Length: 1600\r\n\r\n%s|%s",
				new EdgeLimits(2_000, 2_000, 100, 100));
	}

	private void lowerBetweenHalves(String request, EdgeLimits lowered) throws Exception {
		this.limits = new EdgeLimits(2_000, 2_000, 2_000, 10_000);
		String[] halves = request.formatted("x".repeat(800), "x".repeat(800)).split("\\|");
		try (Socket socket = connect(halves[0])) {
			Thread.sleep(200);
			this.limits = lowered;
			Thread.sleep(600);
			socket.getOutputStream().write(halves[1].getBytes(StandardCharsets.UTF_8));
			assertThat(readSome(socket, "\r\n\r\n")).startsWith("HTTP/1.1 200 ");
		}
	}

	/**
	 * Guards against closing connections of callers who kept to the idle timeout in force
	 * when they became idle, new ones and kept ones.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "", "GET /first HTTP/1.1\r\nHost: x\r\n\r\n" })
	void anIdleConnectionKeepsTheTimeoutThatItBeganWith(String before) throws Exception {
		try (Socket socket = connect(before)) {
			Thread.sleep(200);
			this.limits = new EdgeLimits(2_048, 1_000, 300, 100);
			Thread.sleep(600);
			socket.getOutputStream().write("GET /late HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.UTF_8));
			assertThat(readSome(socket, "/late")).contains("/late");
		}
	}

	/**
	 * Guards against fields that escape the limit: in many short lines, in one line
	 * without an end, or behind a chunked body.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "GET /a HTTP/1.1\r\n%s\r\n", "GET /a HTTP/1.1\r\nLong: x%s",
			"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n%s\r\n" })
	void fieldsAboveTheLimitAreRefused(String request) throws Exception {
		String fields = request.endsWith("x%s") ? "x".repeat(11_000) : "A: b\r\n".repeat(2_750);
		try (Socket socket = connect(request.formatted(fields))) {
			assertThat(readAll(socket)).startsWith("HTTP/1.1 431 ");
			assertThat(this.events).isEmpty();
		}
	}

	/**
	 * Guards against refusing a request whose first line is long, but within the header
	 * limit, and against a first line without any limit.
	 */
	@Test
	void theRequestLineHasALimitThatFollowsTheHeaderLimit() throws Exception {
		this.limits = new EdgeLimits(20_000, 1_000, 300, 10_000);
		try (Socket socket = connect(get("/" + "p".repeat(19_000), 100))) {
			assertThat(readSome(socket, "\r\n\r\n")).startsWith("HTTP/1.1 200 ");
		}
		for (String end : new String[] { "", " HTTP/1.1\r\nHost: x\r\n\r\n" }) {
			try (Socket socket = connect("GET /" + "p".repeat(29_000) + end)) {
				assertThat(readAll(socket)).startsWith("HTTP/1.1 431 ");
			}
		}
	}

	/**
	 * Guards against counting anything else as header fields: the chunks of a body that
	 * arrive together, and a request line.
	 */
	@Test
	void bodiesAndRequestLinesDoNotCountAsFields() throws Exception {
		this.limits = new EdgeLimits(100, 100_000, 5_000, 10_000);
		String chunks = "3e8\r\n%s\r\n".formatted("x".repeat(1_000)).repeat(20);
		try (Socket socket = connect("POST /%s HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n%s0\r\nA: b\r\n\r\n"
			.formatted("p".repeat(8_000), chunks))) {
			assertThat(readSome(socket, "\r\n\r\n")).startsWith("HTTP/1.1 200 ");
			assertThat(event()).endsWith(" 20000");
		}
	}

	/**
	 * Guards against a caller that holds a connection open by sending only the beginning
	 * of a request.
	 */
	@Test
	void incompleteRequestTimesOut() throws Exception {
		try (Socket socket = connect("GET /a HTTP/1.1\r\nHos")) {
			assertThat(readAll(socket)).startsWith("HTTP/1.1 408");
		}
	}

	/**
	 * Guards against a request that is refused as late because the server itself did not
	 * handle it: while another one was in progress, or while a response was unread.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 0, LARGE_BYTES })
	void theTimeBehindAnotherRequestDoesNotCountAsLate(int responseBytes) throws Exception {
		this.limits = new EdgeLimits(2_048, 1_000, 1_000, 10_000);
		try (Socket socket = connect(
				"GET /hold HTTP/1.1\r\nHost: x\r\n\r\nPOST /late HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\na")) {
			assertThat(event()).isEqualTo("GET /hold 0");
			Thread.sleep((responseBytes > 0) ? 200 : 1_200);
			this.group.next()
				.execute(() -> this.held.remove().send(200, new DefaultHttpHeaders(), new byte[responseBytes]));
			Thread.sleep((responseBytes > 0) ? 1_200 : 0);
			readSome(socket, "\r\n\r\n");
			socket.getInputStream().skipNBytes(responseBytes);
			Thread.sleep(400);
			socket.getOutputStream().write("bc".getBytes(StandardCharsets.UTF_8));
			assertThat(readSome(socket, "/late")).startsWith("HTTP/1.1 200");
		}
	}

	/** Guards against losing or altering bytes of a chunked body. */
	@Test
	void chunkedBodyIsReassembled() throws Exception {
		try (Socket socket = connect("POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
				+ "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")) {
			assertThat(event()).isEqualTo("POST /a 5");
			assertThat(readSome(socket, "/a")).startsWith("HTTP/1.1 200");
		}
	}

	/** Guards against an aborted response that looks complete to the caller. */
	@Test
	void abortedResponseHasNoLastChunk() throws Exception {
		try (Socket socket = connect("GET /stream HTTP/1.1\r\nHost: x\r\n\r\n")) {
			String text = readAll(socket);
			assertThat(text).contains("4\r\npart\r\n");
			assertThat(text).doesNotContain("0\r\n\r\n");
		}
	}

	/**
	 * Guards against callers that keep their connections open although the daemon is
	 * about to stop.
	 */
	@Test
	void responsesAnnounceCloseDuringShutdown() throws Exception {
		this.server.announceClose();
		try (Socket socket = connect("GET /a HTTP/1.1\r\nHost: x\r\n\r\n")) {
			assertThat(readAll(socket).toLowerCase(java.util.Locale.ROOT)).contains("connection: close");
		}
	}

	/**
	 * Guards against requests that were received behind a longer response and are dropped
	 * when a stop closes the connection.
	 */
	@Test
	void pipelinedRequestsAreAnsweredDuringShutdown() throws Exception {
		try (Socket socket = connect("GET /hold HTTP/1.1\r\nHost: x\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n")) {
			assertThat(event()).startsWith("GET /hold");
			Thread.sleep(200);
			this.group.next().execute(() -> {
				this.server.announceClose();
				this.held.remove().send(200, new DefaultHttpHeaders(), new byte[0]);
			});
			String text = readAll(socket);
			assertThat(text).contains("/b");
			assertThat(text.toLowerCase(java.util.Locale.ROOT).split("connection: close")).hasLength(2);
		}
	}

	/**
	 * Guards against a connection that is reset at a stop although its caller has sent a
	 * request, because it was still waiting in the backlog.
	 */
	@Test
	void connectionsInTheBacklogAreAnsweredAtAStop() throws Exception {
		CountDownLatch blocked = new CountDownLatch(1);
		CountDownLatch released = new CountDownLatch(1);
		this.group.next().execute(() -> {
			blocked.countDown();
			awaitUninterruptibly(released);
		});
		blocked.await();
		try (Socket socket = connect("GET /late HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")) {
			this.group.next().execute(this.server::closeIdle);
			released.countDown();
			assertThat(new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8)).contains("/late");
		}
	}

	private static void awaitUninterruptibly(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Guards against a response that is cut off, and a process that exits, while a slow
	 * caller is still reading.
	 */
	@Test
	void aSlowCallerReceivesItsWholeResponseBeforeTheConnectionCloses() throws Exception {
		try (Socket socket = connect("GET /large HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")) {
			assertThat(this.events.poll(READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).startsWith("GET /large");
			Thread.sleep(1_000);
			assertThat(openConnections()).isEqualTo(1);
			assertThat(socket.getInputStream().readAllBytes().length).isAtLeast(LARGE_BYTES);
		}
		for (int attempt = 0; attempt < 100 && openConnections() > 0; attempt++) {
			Thread.sleep(20);
		}
		assertThat(openConnections()).isEqualTo(0);
	}

	/**
	 * Guards against a response that a stop cuts off because its caller has not read it
	 * yet.
	 */
	@Test
	void aStopDoesNotCutOffAResponseThatIsBeingRead() throws Exception {
		try (Socket socket = connect("GET /large HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")) {
			assertThat(event()).startsWith("GET /large");
			for (int poll = 0; poll < 5; poll++) {
				this.group.next().execute(this.server::closeIdle);
				Thread.sleep(100);
			}
			assertThat(socket.getInputStream().readAllBytes().length).isAtLeast(LARGE_BYTES);
		}
	}

	/**
	 * Guards against a response that is cut off because a configuration lowers the idle
	 * timeout while its caller reads slowly.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "/awaited", "/awaited/parts" })
	void aLowerIdleTimeoutDoesNotCutOffAResponseThatIsBeingRead(String path) throws Exception {
		try (Socket socket = connect("GET %s HTTP/1.1\r\nHost: a\r\n\r\n".formatted(path))) {
			assertThat(event()).startsWith("GET " + path);
			this.limits = new EdgeLimits(2_048, 1_000, 300, 500);
			for (int pause = 0; pause < 10; pause++) {
				Thread.sleep(150);
				socket.getInputStream().skipNBytes(LARGE_BYTES / 100);
			}
			socket.getInputStream().skipNBytes(LARGE_BYTES - LARGE_BYTES / 10);
		}
	}

	/**
	 * Guards against a response that is cut off although its caller still waits for it:
	 * the socket takes further bytes only after the caller has read many.
	 */
	@Test
	void aCallerMayPauseWhileItWaitsForItsResponse() throws Exception {
		this.limits = new EdgeLimits(2_048, 1_000, 300, 300);
		try (Socket socket = connect("GET /awaited HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")) {
			assertThat(event()).startsWith("GET /awaited");
			Thread.sleep(1_500);
			socket.getInputStream().skipNBytes(LARGE_BYTES);
		}
	}

	private int openConnections() {
		return this.group.next().submit(this.server::openConnections).syncUninterruptibly().getNow();
	}

	/** Guards against a connection that stays open because its caller never reads. */
	@Test
	void aCallerThatNeverReadsIsDisconnected() throws Exception {
		this.limits = new EdgeLimits(2_048, 1_000, 300, 600);
		try (Socket socket = connect("GET /large HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")) {
			assertThat(this.events.poll(READ_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).startsWith("GET /large");
			for (int attempt = 0; attempt < 250 && openConnections() > 0; attempt++) {
				Thread.sleep(20);
			}
			assertThat(openConnections()).isEqualTo(0);
			assertThat(socket.isClosed()).isFalse();
		}
	}

}
