package org.skylarkstack.engine;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import mockwebserver3.MockResponse;
import mockwebserver3.MockWebServer;
import mockwebserver3.SocketEffect;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.skylarkstack.configuration.EngineNode;
import org.skylarkstack.configuration.EngineRole;
import org.skylarkstack.kernel.CancelReason;
import org.skylarkstack.kernel.Cancellation;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.Exceptions;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.kernel.Verdict;
import org.skylarkstack.settings.BackendTimeouts;

import static com.google.common.truth.Truth.assertThat;

class HttpEngineClientTests {

	private static final String ID = "vm-0.1.7.2";

	private final MockWebServer server = new MockWebServer();

	private final BackendTimeouts timeouts = new BackendTimeouts(2_000, 2_000, 2_000, 2_000, 2_000, 1_000, 0);

	private final HttpEngineClient client = new HttpEngineClient(new BackendClients(2_000), this.timeouts);

	private final Cancellation cancellation = new Cancellation();

	@BeforeEach
	void start() throws Exception {
		this.server.start();
	}

	@AfterEach
	void stop() {
		this.server.close();
	}

	private EngineNode engine() {
		String url = "http://127.0.0.1:" + this.server.getPort();
		return new EngineNode("e1", url, "dc", "model", EngineRole.BOTH, 1, 1, 1, true, false);
	}

	private EngineCall call() {
		return new EngineCall(ID, "vm-0.1", "/v1/completions",
				JsonNodeFactory.instance.objectNode().put("max_completion_tokens", 9), this.cancellation);
	}

	private DecodeStream decode() {
		return this.client.decode(engine(), call(), new PrefillResult(JsonNodeFactory.instance.objectNode(), 1), 2);
	}

	private static MockResponse.Builder response() {
		return new MockResponse.Builder().setHeader("X-Request-Id", ID);
	}

	private static String event(int offset, String id) {
		return "id: " + offset + "\ndata: {\"id\":\"cmpl-" + id + "\"}\n\n";
	}

	private RouterException streamFailure(List<DecodeEvent> events) {
		return Exceptions.assertThrows(RouterException.class, () -> {
			try (DecodeStream stream = decode()) {
				for (DecodeEvent event = stream.next(); event != null; event = stream.next()) {
					events.add(event);
				}
			}
		});
	}

	// Guards against passing events of another request or attempt to this caller.
	@Test
	void crossedEventsAreDroppedAndCounted() {
		this.server.enqueue(response()
			.body(event(3, ID) + event(4, "vm-0.1.7.1") + event(4, "vm-0.1.17.2") + event(4, ID) + "data: [DONE]\n\n")
			.build());
		List<DecodeEvent> events = new ArrayList<>();
		try (DecodeStream stream = decode()) {
			for (DecodeEvent event = stream.next(); event != null; event = stream.next()) {
				events.add(event);
			}
		}
		assertThat(events)
			.containsExactly(new DecodeEvent(3, "{\"id\":\"cmpl-vm-0.1.7\"}"),
					new DecodeEvent(4, "{\"id\":\"cmpl-vm-0.1.7\"}"))
			.inOrder();
		assertThat(this.client.crossedResponses()).isEqualTo(2);
	}

	// Guards against taking the response of another attempt for the response of this one.
	@Test
	void crossedResponseIsRefused() {
		this.server.enqueue(new MockResponse.Builder().setHeader("X-Request-Id", "vm-0.1.7.1").body("{}").build());
		assertThat(
				Exceptions.assertThrows(RouterException.class, () -> this.client.prefill(engine(), call())).verdict())
			.isEqualTo(Verdict.MAY_HAVE_RUN);
		assertThat(this.client.crossedResponses()).isEqualTo(1);
	}

	// Guards against a number of an engine that is truncated to another one.
	@Test
	void numbersOutOfRangeAreNotTruncated() {
		this.server
			.enqueue(response().body("{\"kv_transfer_params\":{},\"usage\":{\"prompt_tokens\":4294967303}}").build());
		assertThat(this.client.prefill(engine(), call()).promptTokens()).isEqualTo(0);
		this.server.enqueue(response()
			.body("[{\"request_id\":\"r\",\"owner\":\"o\",\"pieces\":4294967297,\"idle_millis\":9223372036854775808}]")
			.build());
		HeldRequest held = this.client.held(engine()).get(0);
		assertThat(held.pieces()).isEqualTo(0);
		assertThat(held.idleMillis()).isEqualTo(Long.MAX_VALUE);
	}

	// Guards against taking a truncated stream for a complete one.
	@Test
	void truncatedStreamIsAFailure() {
		this.server.enqueue(response().body(event(3, ID)).build());
		List<DecodeEvent> events = new ArrayList<>();
		assertThat(streamFailure(events).type()).isEqualTo(ErrorType.BACKEND_FAILED);
		assertThat(events).hasSize(1);
	}

	// Guards against passing an engine's error event on as part of the response.
	@Test
	void errorEventIsAFailure() {
		this.server.enqueue(response().body("data: {\"error\":{}}\n\ndata: [DONE]\n\n").build());
		assertThat(streamFailure(new ArrayList<>()).type()).isEqualTo(ErrorType.BACKEND_FAILED);
	}

	// Guards against waiting forever on a connection that stopped responding, before the
	// headers or between two tokens, even if comments still arrive.
	@Test
	void stalledStreamEndsAtItsIdleTimeout() {
		this.server.enqueue(response().onResponseStart(SocketEffect.Stall.INSTANCE).build());
		assertThat(streamFailure(new ArrayList<>()).type()).isEqualTo(ErrorType.BACKEND_TIMEOUT);
		this.server.enqueue(response().body(event(3, ID) + ": still here\n\n".repeat(1_000))
			.throttleBody(64, 50, java.util.concurrent.TimeUnit.MILLISECONDS)
			.build());
		List<DecodeEvent> events = new ArrayList<>();
		assertThat(streamFailure(events).type()).isEqualTo(ErrorType.BACKEND_TIMEOUT);
		assertThat(events).hasSize(1);
	}

	// Guards against a prefill result or a report without end that fills the heap.
	@Test
	void endlessBodyIsAFailure() {
		String part = "x".repeat(5_000_000);
		this.server.enqueue(response().body("{\"kv_transfer_params\":{\"a\":\"" + part).build());
		RouterException failure = Exceptions.assertThrows(RouterException.class,
				() -> this.client.prefill(engine(), call()));
		assertThat(failure.type()).isEqualTo(ErrorType.BACKEND_FAILED);
		assertThat(failure.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
		assertThat(failure).hasMessageThat().contains("larger than");
		this.server.enqueue(new MockResponse.Builder().body("[\"" + part).build());
		assertThat(Exceptions.assertThrows(RouterException.class, () -> this.client.held(engine()))).hasMessageThat()
			.contains("larger than");
		this.server.enqueue(new MockResponse.Builder().body("load 1\n".repeat(1_000_000)).build());
		assertThat(Exceptions.assertThrows(RouterException.class, () -> this.client.load(engine()))).hasMessageThat()
			.contains("larger than");
		this.server.enqueue(response().body("id: 3\ndata: " + part).build());
		assertThat(streamFailure(new ArrayList<>()).type()).isEqualTo(ErrorType.BACKEND_FAILED);
	}

	// Guards against a stalled stream that is kept open by events that the caller has
	// already received.
	@Test
	void repeatedEventsDoNotExtendTheIdleTimeout() {
		this.server.enqueue(response().body(event(3, ID).repeat(2_000))
			.throttleBody(64, 50, java.util.concurrent.TimeUnit.MILLISECONDS)
			.build());
		long started = System.nanoTime();
		assertThat(streamFailure(new ArrayList<>()).type()).isEqualTo(ErrorType.BACKEND_TIMEOUT);
		assertThat(System.nanoTime() - started).isLessThan(6_000_000_000L);
	}

	// Guards against a slow caller whose reading time counts as silence of the engine.
	@Test
	void slowCallerDoesNotUseUpTheIdleTimeout() throws Exception {
		this.server.enqueue(response().body(event(3, ID) + event(4, ID) + event(5, ID) + "data: [DONE]\n\n").build());
		try (DecodeStream stream = decode()) {
			for (DecodeEvent event = stream.next(); event != null; event = stream.next()) {
				Thread.sleep(2_200);
			}
		}
	}

	// Guards against a head that arrives byte by byte, each within the read timeout.
	@Test
	void trickledHeadEndsAtItsTimeout() throws Exception {
		try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			Thread trickler = new Thread(() -> trickleHead(listener), "trickler");
			trickler.start();
			EngineNode slow = new EngineNode("e1", "http://127.0.0.1:" + listener.getLocalPort(), "dc", "model",
					EngineRole.BOTH, 1, 1, 1, true, false);
			long started = System.nanoTime();
			RouterException failure = Exceptions.assertThrows(RouterException.class, () -> this.client.decode(slow,
					call(), new PrefillResult(JsonNodeFactory.instance.objectNode(), 1), 2));
			assertThat(failure.type()).isEqualTo(ErrorType.BACKEND_TIMEOUT);
			assertThat(failure.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
			assertThat(System.nanoTime() - started).isLessThan(6_000_000_000L);
			trickler.join();
		}
	}

	private static void trickleHead(ServerSocket listener) {
		try (Socket socket = listener.accept()) {
			socket.getOutputStream().write("HTTP/1.1 200 OK\r\nX-Slow: ".getBytes(StandardCharsets.UTF_8));
			for (int part = 0; part < 200; part++) {
				socket.getOutputStream().write('x');
				socket.getOutputStream().flush();
				Thread.sleep(100);
			}
		}
		catch (IOException | InterruptedException ex) {
			// The client closed the connection.
		}
	}

	// Guards against waiting forever for a prefill.
	@Test
	void stalledPrefillEndsAtItsIdleTimeout() {
		this.server.enqueue(response().onResponseStart(SocketEffect.Stall.INSTANCE).build());
		RouterException failure = Exceptions.assertThrows(RouterException.class,
				() -> this.client.prefill(engine(), call()));
		assertThat(failure.type()).isEqualTo(ErrorType.BACKEND_TIMEOUT);
		assertThat(failure.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
	}

	// Guards against the verdict "may have run" for a request that was not sent or was
	// refused by a full engine.
	@Test
	void refusedConnectionAndFullEngineMeanNotRun() {
		this.server.enqueue(response().code(429).build());
		assertThat(Exceptions.assertThrows(RouterException.class, this::decode).verdict()).isEqualTo(Verdict.NOT_RUN);
		EngineNode unreachable = engine();
		this.server.close();
		HttpEngineClient unconnected = new HttpEngineClient(new BackendClients(2_000), this.timeouts);
		RouterException failure = Exceptions.assertThrows(RouterException.class,
				() -> unconnected.prefill(unreachable, call()));
		assertThat(failure.type()).isEqualTo(ErrorType.BACKEND_UNREACHABLE);
		assertThat(failure.verdict()).isEqualTo(Verdict.NOT_RUN);
	}

	// Guards against OkHttp repeating a refused request by itself, which would run it
	// twice.
	@Test
	void refusalWithRetryAfterZeroIsSentOnce() {
		this.server.enqueue(response().code(503).setHeader("Retry-After", "0").build());
		this.server.enqueue(response().code(503).build());
		Exceptions.assertThrows(RouterException.class, this::decode);
		assertThat(this.server.getRequestCount()).isEqualTo(1);
	}

	// Guards against a prefill that generates output, and against a decode that does not
	// send its resume offset.
	@Test
	void prefillIsBoundedAndDecodeNamesItsOffset() throws Exception {
		this.server
			.enqueue(response().body("{\"kv_transfer_params\":{\"a\":1},\"usage\":{\"prompt_tokens\":5}}").build());
		this.server.enqueue(response().body("data: [DONE]\n\n").build());
		PrefillResult result = this.client.prefill(engine(), call());
		assertThat(result.promptTokens()).isEqualTo(5);
		String body = String.valueOf(this.server.takeRequest().getBody());
		assertThat(body).contains("max_tokens");
		assertThat(body).doesNotContain("max_completion_tokens");
		try (DecodeStream stream = decode()) {
			assertThat(stream.next()).isNull();
		}
		assertThat(this.server.takeRequest().getHeaders().get("Last-Event-ID")).isEqualTo("2");
	}

	// Guards against a prefill or decode that loses the priority of its request.
	@Test
	void prefillAndDecodeCarryThePriority() throws Exception {
		EngineCall call = call();
		call.body().put("priority", 1);
		this.server.enqueue(response().body("{\"kv_transfer_params\":{}}").build());
		this.server.enqueue(response().body("data: [DONE]\n\n").build());
		PrefillResult result = this.client.prefill(engine(), call);
		this.client.decode(engine(), call, result, 0).close();
		for (int request = 0; request < 2; request++) {
			assertThat(String.valueOf(this.server.takeRequest().getBody())).contains("\"priority\":1");
		}
	}

	// Guards against a thread that stays blocked in a call after its request was
	// cancelled.
	@Test
	void cancellationEndsAWaitingCall() throws Exception {
		HttpEngineClient clientWithLongTimeouts = new HttpEngineClient(new BackendClients(2_000),
				new BackendTimeouts(500, 60_000, 60_000, 60_000, 60_000, 0, 0));
		this.server.enqueue(response().onResponseStart(SocketEffect.Stall.INSTANCE).build());
		CountDownLatch received = new CountDownLatch(1);
		Thread canceller = new Thread(() -> {
			try {
				this.server.takeRequest();
				received.countDown();
				this.cancellation.cancel(CancelReason.CALLER_GONE);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		});
		canceller.start();
		RouterException failure = Exceptions.assertThrows(RouterException.class,
				() -> clientWithLongTimeouts.prefill(engine(), call()));
		received.await();
		assertThat(failure.type()).isEqualTo(ErrorType.CALLER_GONE);
		assertThat(failure.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
	}

	// Guards against new calls on pooled connections to a server after one connection to
	// it stopped responding.
	@Test
	void stalledConnectionEmptiesThePoolOfItsServer() throws Exception {
		String prefill = "{\"kv_transfer_params\":{\"a\":1}}";
		this.server.enqueue(response().body(prefill).build());
		this.server.enqueue(response().onResponseStart(SocketEffect.Stall.INSTANCE).build());
		this.server.enqueue(response().body(prefill).build());
		this.client.prefill(engine(), call());
		Exceptions.assertThrows(RouterException.class, () -> this.client.prefill(engine(), call()));
		this.client.prefill(engine(), call());
		this.server.takeRequest();
		this.server.takeRequest();
		assertThat(this.server.takeRequest().getExchangeIndex()).isEqualTo(0);
	}

}
