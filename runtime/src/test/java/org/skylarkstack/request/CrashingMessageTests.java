package org.skylarkstack.request;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.skylarkstack.kernel.Cancellation;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.Exceptions;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.request.FakeEngineClient.DecodeFault;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of requests that crash engines because of a message that they have in common.
 */
class CrashingMessageTests {

	private static final int MAX_REQUESTS_AT_ENGINES = 5;

	private final RequestFixture fixture = new RequestFixture();

	private final FakeEngineClient engines = this.fixture.engines;

	@AfterEach
	void close() {
		this.fixture.canceller.close();
	}

	private static CompletionRequest request(String... contents) {
		ObjectNode body = JsonNodeFactory.instance.objectNode().put("model", "model");
		ArrayNode messages = body.putArray("messages");
		for (String content : contents) {
			messages.addObject().put("role", "user").put("content", content);
		}
		return CompletionRequest.parse("/v1/chat/completions", body, true);
	}

	private List<String> run(CompletionRequest request) {
		List<String> events = new ArrayList<>();
		this.fixture.run(request, new Cancellation(), events::add);
		return events;
	}

	private RouterException failure(CompletionRequest request) {
		return Exceptions.assertThrows(RouterException.class, () -> run(request));
	}

	// Every engine crashes at the start of its response, and is back for the next
	// request.
	private ErrorType crash(CompletionRequest request) {
		this.engines.dead.clear();
		this.engines.decodeFaults.clear();
		for (String engine : List.of("d1", "d2", "d3")) {
			this.engines.decodeFaults.add(new DecodeFault(0, this.engines.crash(engine)));
		}
		ErrorType type = failure(request).type();
		this.engines.decodeFaults.clear();
		this.engines.dead.clear();
		this.fixture.time.advanceMillis(2_000);
		return type;
	}

	/**
	 * Guards against requests with the same message that crash one engine after the
	 * other, and against the refusal of requests that share only other messages.
	 */
	@Test
	void aMessageThatCrashesEnginesIsRefused() {
		int requestsAtEngines = 0;
		for (int number = 0; number < 8; number++) {
			int before = this.engines.prefillsAndDecodes().size();
			crash(request("system", "crashing", "question " + number));
			requestsAtEngines += (this.engines.prefillsAndDecodes().size() > before) ? 1 : 0;
		}
		assertThat(requestsAtEngines).isAtMost(MAX_REQUESTS_AT_ENGINES);
		int before = this.engines.prefillsAndDecodes().size();
		assertThat(failure(request("system", "crashing", "another question")).type().httpStatus()).isEqualTo(503);
		assertThat(this.engines.prefillsAndDecodes()).hasSize(before);
		assertThat(run(request("system", "harmless", "question"))).isNotEmpty();
		assertThat(run(request("crashing"))).isNotEmpty();
	}

}
