package org.skylarkstack.standin;

import java.time.Duration;
import java.util.List;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.skylarkstack.configuration.EngineNode;
import org.skylarkstack.configuration.EngineRole;
import org.skylarkstack.engine.BackendClients;
import org.skylarkstack.engine.DecodeEvent;
import org.skylarkstack.engine.DecodeStream;
import org.skylarkstack.engine.EngineCall;
import org.skylarkstack.engine.HttpEngineClient;
import org.skylarkstack.engine.PrefillResult;
import org.skylarkstack.kernel.Cancellation;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.kernel.Verdict;
import org.skylarkstack.settings.BackendTimeouts;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link EngineStandIn} through the router's engine client.
 */
class EngineStandInTests {

	private static final int OUTPUT_TOKENS = 8;

	private final EngineStandIn prefill = new EngineStandIn("prefill", 0, 2);

	private final EngineStandIn decode = new EngineStandIn("decode", 0, 2);

	private final HttpEngineClient client = client(30_000);

	/** For calls that get no response. */
	private final HttpEngineClient shortTimeoutClient = client(300);

	private final ObjectMapper mapper = new ObjectMapper();

	private static HttpEngineClient client(int idleMillis) {
		return new HttpEngineClient(new BackendClients(30_000),
				new BackendTimeouts(30_000, idleMillis, idleMillis, idleMillis, idleMillis, idleMillis, idleMillis));
	}

	@AfterEach
	void stop() {
		this.prefill.close();
		this.decode.close();
	}

	private static EngineNode node(EngineStandIn engine) {
		return new EngineNode(engine.id(), engine.url(), "dc", "model", EngineRole.BOTH, 20, 64, 20_000, true, false);
	}

	private EngineCall call(String id, String prompt) {
		ObjectNode body = this.mapper.createObjectNode().put("model", "model").put("max_tokens", OUTPUT_TOKENS);
		body.put("prompt", prompt);
		return new EngineCall(id, "vm.1", "/v1/completions", body, new Cancellation());
	}

	private PrefillResult prefill(EngineCall call) {
		return this.client.prefill(node(this.prefill), call);
	}

	private String read(EngineCall call, PrefillResult result, int from) {
		StringBuilder text = new StringBuilder();
		try (DecodeStream stream = this.client.decode(node(this.decode), call, result, from)) {
			for (@Nullable
			DecodeEvent event = stream.next(); event != null; event = stream.next()) {
				text.append(event.tokenOffset()).append(event.data().replaceAll(".*\"text\":\"([^\"]*)\".*", "$1"));
			}
		}
		return text.toString();
	}

	private static RouterException failureOf(Runnable call) {
		try {
			call.run();
		}
		catch (RouterException ex) {
			return ex;
		}
		throw new AssertionError("the call succeeded");
	}

	private static void await(BooleanSupplier condition) throws InterruptedException {
		for (int attempt = 0; attempt < 500 && !condition.getAsBoolean(); attempt++) {
			Thread.sleep(Duration.ofMillis(20).toMillis());
		}
		assertThat(condition.getAsBoolean()).isTrue();
	}

	/** Guards against a resumed stream whose text differs from an uninterrupted one. */
	@Test
	void resumedStreamEqualsTheRemainderOfTheFullStream() throws InterruptedException {
		EngineCall call = call("a.1", "summarise");
		String full = read(call, prefill(call), 0);
		String rest = read(call, prefill(call), 5);
		assertThat(full).endsWith(rest);
		assertThat(rest).startsWith("6 ");
		assertThat(this.decode.workCounts().get("a.1"))
			.isEqualTo(new EngineWorkCounts(0, 0, 0, 2, OUTPUT_TOKENS + 3, 2));
		await(() -> this.prefill.held().isEmpty() && this.decode.held().isEmpty());
	}

	/** Guards against tokens that are buffered until the end of the stream. */
	@Test
	void sendsEachTokenBeforeTheNextIsDecoded() {
		this.decode.faults().inject(EngineFaults.Counted.STALLED_STREAM, 1);
		EngineCall call = call("a.1", "summarise");
		try (DecodeStream stream = this.client.decode(node(this.decode), call, prefill(call), 0)) {
			assertThat(stream.next()).isNotNull();
			assertThat(this.decode.held()).hasSize(1);
			this.client.cancel(node(this.decode), "a.1");
			assertThat(failureOf(stream::next)).isNotNull();
		}
	}

	/** Guards against a decode from a prefill result that was already fetched. */
	@Test
	void rejectsPrefillResultThatWasAlreadyUsed() {
		EngineCall call = call("a.1", "summarise");
		PrefillResult result = prefill(call);
		read(call, result, 0);
		RouterException failure = failureOf(() -> read(call, result, 0));
		assertThat(failure.type()).isEqualTo(ErrorType.PREFILL_GONE);
		assertThat(failure.verdict()).isEqualTo(Verdict.NOT_RUN);
		assertThat(this.decode.held()).isEmpty();
	}

	/** Guards against injected faults that have no effect. */
	@Test
	void injectedFaultsApplyToTheNextRequests() throws InterruptedException {
		EngineCall call = call("a.1", "summarise");
		this.prefill.faults().inject(EngineFaults.Counted.FULL, 1);
		assertThat(failureOf(() -> prefill(call)).verdict()).isEqualTo(Verdict.NOT_RUN);
		assertThat(this.prefill.workCounts()).isEmpty();
		this.prefill.faults().inject(EngineFaults.Counted.WRONG_REQUEST_ID, 1);
		assertThat(failureOf(() -> prefill(call))).hasMessageThat().contains("never-sent");
		this.decode.faults().inject(EngineFaults.Counted.TRUNCATED_STREAM, 1);
		assertThat(failureOf(() -> read(call, prefill(call), 0))).hasMessageThat().contains("end marker");
		this.decode.faults().inject(EngineFaults.Counted.STALLED_TRANSFER, 1);
		PrefillResult result = prefill(call);
		failureOf(() -> this.shortTimeoutClient.decode(node(this.decode), call, result, 0));
		await(() -> this.decode.held().size() == 1);
		this.client.cancel(node(this.decode), "a.1");
		assertThat(this.decode.held()).isEmpty();
		this.prefill.faults().inject(EngineFaults.Counted.SILENT, 1);
		failureOf(() -> this.shortTimeoutClient.prefill(node(this.prefill), call));
	}

	/**
	 * Guards against a crash that keeps the connection open, is not followed by a restart
	 * or loses the counts of the work before it.
	 */
	@Test
	void crashDropsTheConnectionAndRestartsOnTheSamePort() throws InterruptedException {
		this.prefill.faults().crashOn("poison");
		this.prefill.faults().restartAfter(50);
		RouterException failure = failureOf(() -> prefill(call("a.1", "poison")));
		assertThat(failure.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
		await(() -> {
			try {
				return prefill(call("b.1", "harmless")).promptTokens() > 0;
			}
			catch (RouterException ex) {
				return false;
			}
		});
		assertThat(this.prefill.workCounts().keySet()).containsExactly("a.1", "b.1");
	}

	/**
	 * Guards against frozen connections that still carry data or new ones that do not.
	 */
	@Test
	void frozenConnectionsCarryNoDataAndNewOnesWork() {
		EngineCall call = call("a.1", "summarise");
		// Prefills share a connection pool, which load reports do not use.
		this.shortTimeoutClient.prefill(node(this.prefill), call("a.0", "warm up"));
		this.prefill.freezeConnections();
		failureOf(() -> this.shortTimeoutClient.prefill(node(this.prefill), call));
		assertThat(prefill(call).promptTokens()).isGreaterThan(0);
	}

	/**
	 * Guards against an order with an outdated fencing number that is applied although
	 * fencing is checked, or rejected although it is not.
	 */
	@Test
	void ordersAreFencedOnlyWhenChecked() {
		EngineOrders orders = new EngineOrders();
		ObjectNode order = this.mapper.createObjectNode().put("kind", "load_adapter").put("target", "x");
		assertThat(orders.apply(order.put("fencing_number", 5), true, 0)).isEqualTo(200);
		assertThat(orders.apply(order.put("fencing_number", 4), true, 0)).isEqualTo(409);
		assertThat(orders.apply(order.put("fencing_number", 4), false, 0)).isEqualTo(200);
		assertThat(orders.apply(order.put("expires_epoch_millis", 9), false, 10)).isEqualTo(410);
		assertThat(orders.applied())
			.isEqualTo(List.of(new EngineOrder("load_adapter", "x", 5), new EngineOrder("load_adapter", "x", 4)));
	}

}
