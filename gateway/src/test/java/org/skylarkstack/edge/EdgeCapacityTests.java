package org.skylarkstack.edge;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of the bounds on connections and on their memory.
 */
class EdgeCapacityTests {

	private static final int TIMEOUT_MILLIS = 5_000;

	private static final int MAX_CONNECTIONS = 3;

	private static final int BUDGET_BYTES = 1_000_000;

	private static final int RESPONSE_BYTES = 600_000;

	// More than the socket buffers of both ends and the budget hold.
	private static final int HUGE_RESPONSE_BYTES = 32 * 1024 * 1024;

	private static final String SHORT_FIELDS = "GET /a HTTP/1.1\r\n" + "a:\r\n".repeat(2_500);

	private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final Deque<CallerResponse> held = new ArrayDeque<>();

	private final ConnectionMemoryBudget memory = new ConnectionMemoryBudget(BUDGET_BYTES);

	private final RequestBodyBudget bodies = new RequestBodyBudget(BUDGET_BYTES);

	private final EdgeServer server = new EdgeServer(this.group.next(), this::handle,
			() -> new EdgeLimits(16_384, 100_000, 2_000, 10_000),
			new EdgeCapacity(this.bodies, this.memory, MAX_CONNECTIONS));

	private InetSocketAddress address = new InetSocketAddress(0);

	private int handled;

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
		this.handled++;
		if (request.target().startsWith("/hold")) {
			this.held.add(response);
			return;
		}
		byte[] body = switch (request.target()) {
			case "/large" -> new byte[RESPONSE_BYTES];
			case "/huge" -> new byte[HUGE_RESPONSE_BYTES];
			default -> new byte[1];
		};
		response.send(200, new DefaultHttpHeaders(), body);
	}

	private Socket connect(String text) throws IOException {
		Socket socket = new Socket();
		socket.setReceiveBufferSize(16 * 1024);
		socket.connect(this.address);
		socket.setSoTimeout(TIMEOUT_MILLIS);
		socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
		return socket;
	}

	private static String statusLine(Socket socket) throws IOException {
		return new String(socket.getInputStream().readNBytes("HTTP/1.1 200".length()), StandardCharsets.UTF_8);
	}

	private long onLoop(Callable<Long> value) throws Exception {
		return this.group.next().submit(value).get();
	}

	private void await(Callable<Boolean> condition) throws Exception {
		long start = System.nanoTime();
		while (!this.group.next().submit(condition).get()) {
			assertThat(System.nanoTime() - start).isLessThan(TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS));
			Thread.sleep(20);
		}
	}

	private void answerHeld() {
		this.group.next().execute(() -> this.held.remove().send(200, new DefaultHttpHeaders(), new byte[0]));
	}

	private static int responses(Socket socket) throws IOException {
		String text = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
		return text.split("HTTP/1.1 200", -1).length - 1;
	}

	/**
	 * Guards against requests that are dropped by a stop because they wait in the decoder
	 * behind the request in progress and the one after it.
	 */
	@Test
	void allPipelinedRequestsAreAnsweredAtAStop() throws Exception {
		try (Socket socket = connect("GET /hold HTTP/1.1\r\n\r\n" + "GET /a HTTP/1.1\r\n\r\n".repeat(4))) {
			await(() -> this.held.size() == 1);
			this.group.next().execute(this.server::announceClose);
			answerHeld();
			assertThat(responses(socket)).isEqualTo(5);
		}
	}

	/**
	 * Guards against an accepted request that is dropped because the input behind it
	 * exceeds the memory budget.
	 */
	@Test
	void anAcceptedRequestIsAnsweredWhenTheInputBehindItIsRefused() throws Exception {
		try (Socket socket = connect("GET /hold HTTP/1.1\r\n\r\nGET /a HTTP/1.1\r\n\r\n")) {
			await(() -> this.held.size() == 1);
			Thread.sleep(200);
			this.group.next().execute(() -> this.memory.add(BUDGET_BYTES));
			Thread.sleep(200);
			socket.getOutputStream().write("GET /b HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.UTF_8));
			Thread.sleep(200);
			answerHeld();
			assertThat(responses(socket)).isEqualTo(2);
			assertThat(this.handled).isEqualTo(2);
		}
	}

	/** Guards against a request that is dropped for a new connection while it arrives. */
	@Test
	void anIdleConnectionIsClosedBeforeOneThatReceivesARequest() throws Exception {
		try (Socket receiving = connect("POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\na")) {
			await(() -> this.bodies.totalBytes() == 3);
			try (Socket idle = connect("")) {
				await(() -> this.server.openConnections() == 2);
				Thread.sleep(700);
				try (Socket third = connect(""); Socket fourth = connect("")) {
					assertThat(idle.getInputStream().read()).isEqualTo(-1);
					receiving.getOutputStream().write("bc".getBytes(StandardCharsets.UTF_8));
					assertThat(statusLine(receiving)).isEqualTo("HTTP/1.1 200");
					assertThat(third.getLocalPort()).isNotEqualTo(fourth.getLocalPort());
				}
			}
		}
	}

	/** Guards against a last response that is lost because its connection is reset. */
	@Test
	void anIdleConnectionIsClosedBeforeOneThatLingers() throws Exception {
		try (Socket lingering = connect("GET /a HTTP/1.1\r\nConnection: close\r\n\r\n")) {
			assertThat(statusLine(lingering)).isEqualTo("HTTP/1.1 200");
			try (Socket idle = connect(""); Socket third = connect(""); Socket fourth = connect("")) {
				assertThat(idle.getInputStream().read()).isEqualTo(-1);
				assertThat(third.getLocalPort()).isNotEqualTo(fourth.getLocalPort());
			}
		}
	}

	/** Guards against connections that wait forever after an error on another one. */
	@Test
	void theOtherDecodersTakeTheirTurnAfterAnError() throws Exception {
		CountDownLatch turn = new CountDownLatch(1);
		CallerRequestDecoder failing = decoder(() -> {
			throw new AssertionError("simulated error");
		});
		CallerRequestDecoder other = decoder(turn::countDown);
		this.group.next().execute(() -> {
			this.server.inputTurns().add(failing);
			this.server.inputTurns().add(other);
		});
		assertThat(turn.await(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
	}

	private CallerRequestDecoder decoder(Runnable onTurn) {
		CallerRequestDecoder decoder = new CallerConnection(this.server).decoder();
		decoder.handlerAdded((ChannelHandlerContext) Proxy.newProxyInstance(getClass().getClassLoader(),
				new Class<?>[] { ChannelHandlerContext.class }, (proxy, method, arguments) -> {
					onTurn.run();
					return true;
				}));
		return decoder;
	}

	/**
	 * Guards against a response that a stop cuts off although the connection would stay
	 * open after it.
	 */
	@Test
	void aStopDoesNotCutOffAResponseOfAConnectionThatIsKept() throws Exception {
		try (Socket socket = connect("GET /huge HTTP/1.1\r\n\r\n")) {
			await(() -> this.handled == 1);
			this.group.next().execute(this.server::closeIdle);
			this.group.next().execute(this.server::closeIdle);
			Thread.sleep(200);
			assertThat(socket.getInputStream().readAllBytes().length).isAtLeast(HUGE_RESPONSE_BYTES);
		}
	}

	/** Guards against connections that take all descriptors of the process. */
	@Test
	void theConnectionThatHasBeenIdleTheLongestIsClosedAboveTheBound() throws Exception {
		try (Socket busy = connect("GET /hold HTTP/1.1\r\n\r\n")) {
			await(() -> this.handled == 1);
			try (Socket idle = connect("");
					Socket newer = connect("GET /a HTTP/1.1\r\n\r\n");
					Socket newest = connect("GET /a HTTP/1.1\r\n\r\n")) {
				assertThat(statusLine(newest)).isEqualTo("HTTP/1.1 200");
				assertThat(statusLine(newer)).isEqualTo("HTTP/1.1 200");
				assertThat(idle.getInputStream().read()).isEqualTo(-1);
				this.group.next().execute(() -> this.held.remove().send(200, new DefaultHttpHeaders(), new byte[0]));
				assertThat(statusLine(busy)).isEqualTo("HTTP/1.1 200");
			}
		}
	}

	/** Guards against heads of very many short fields that fill the heap together. */
	@Test
	void aHeadThatExceedsTheCommonBoundIsRefusedWhileItArrives() throws Exception {
		try (Socket first = connect(SHORT_FIELDS)) {
			await(() -> this.memory.totalBytes() > 600_000);
			try (Socket second = connect(SHORT_FIELDS)) {
				assertThat(statusLine(second)).isEqualTo("HTTP/1.1 503");
				first.getOutputStream().write("\r\n".getBytes(StandardCharsets.UTF_8));
				assertThat(statusLine(first)).isEqualTo("HTTP/1.1 200");
			}
		}
		await(() -> this.memory.totalBytes() == 0);
	}

	/** Guards against trailing fields of bodies that fill the heap together. */
	@Test
	void trailingFieldsCountWhileTheyArrive() throws Exception {
		String trailers = "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + "a:\r\n".repeat(2_500);
		try (Socket first = connect(trailers)) {
			await(() -> this.memory.totalBytes() > 600_000);
			first.getOutputStream().write("\r\n".getBytes(StandardCharsets.UTF_8));
			assertThat(statusLine(first)).isEqualTo("HTTP/1.1 200");
			await(() -> this.memory.totalBytes() == 0);
		}
	}

	/**
	 * Guards against a caller that pipelines without reading, whose requests are handled
	 * and whose responses are kept all the same.
	 */
	@Test
	void requestsOfACallerThatDoesNotReadWait() throws Exception {
		try (Socket socket = connect("GET /large HTTP/1.1\r\n\r\n".repeat(50))) {
			await(() -> this.handled > 0);
			Thread.sleep(300);
			assertThat(onLoop(() -> (long) this.handled)).isLessThan(50L);
			assertThat(onLoop(this.memory::totalBytes)).isLessThan(4L * RESPONSE_BYTES);
			socket.getInputStream().skipNBytes(50L * RESPONSE_BYTES);
			assertThat(onLoop(() -> (long) this.handled)).isEqualTo(50L);
		}
		await(() -> this.memory.totalBytes() == 0);
	}

	/** Guards against unread responses of many callers that fill the memory together. */
	@Test
	void theResponseUnreadTheLongestIsDroppedAboveTheBound() throws Exception {
		try (Socket first = connect("GET /huge HTTP/1.1\r\n\r\n")) {
			await(() -> this.memory.totalBytes() > BUDGET_BYTES);
			assertThat(onLoop(() -> (long) this.server.openConnections())).isEqualTo(1);
			try (Socket second = connect("GET /huge HTTP/1.1\r\n\r\n")) {
				await(() -> this.handled == 2 && this.server.openConnections() == 1);
				assertThat(statusLine(second)).isEqualTo("HTTP/1.1 200");
				second.getInputStream().skipNBytes(HUGE_RESPONSE_BYTES);
			}
			assertThat(first.getInputStream().readAllBytes().length).isLessThan(HUGE_RESPONSE_BYTES);
		}
		await(() -> this.memory.totalBytes() == 0);
	}

	/**
	 * Guards against a disconnect that is not noticed, and memory that stays reserved,
	 * because requests wait behind the one that is handled.
	 */
	@Test
	void aDisconnectBehindWaitingRequestsIsReported() throws Exception {
		boolean[] gone = new boolean[1];
		try (Socket socket = connect(
				"POST /hold HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc" + "GET /b HTTP/1.1\r\n\r\n".repeat(100))) {
			await(() -> this.held.size() == 1);
			this.group.next().execute(() -> this.held.element().onDisconnect(() -> gone[0] = true));
			assertThat(socket.isConnected()).isTrue();
		}
		await(() -> gone[0] && this.memory.totalBytes() == 0 && this.bodies.totalBytes() == 0);
		assertThat(this.handled).isEqualTo(1);
	}

}
