package org.skylarkstack.testsuite;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.skylarkstack.configuration.ObjectKind;
import org.skylarkstack.configuration.Team;
import org.skylarkstack.configuration.Ticket;
import org.skylarkstack.configuration.TicketChange;
import org.skylarkstack.fleet.FleetClient;
import org.skylarkstack.fleet.FleetPlan;
import org.skylarkstack.fleet.FleetResponse;
import org.skylarkstack.fleet.LocalFleet;
import org.skylarkstack.misc.Hashes;
import org.skylarkstack.standin.EngineStandIn;

import static com.google.common.truth.Truth.assertThat;

/**
 * Steps about recovery from failures during requests.
 */
public class RecoverySteps {

	private static final String MODEL = ScenarioFleet.MODEL;

	private static final String KEY = "key-of-recovery";

	private final List<FleetResponse> responses = new ArrayList<>();

	private final ScenarioFleet scenario = new ScenarioFleet();

	/**
	 * Starts a fleet of two VMs with one team.
	 * @param prefills the number of prefill engines
	 * @param decodes the number of decode engines
	 */
	@Given("a fleet for recovery with {int} prefill engine(s) and {int} decode engine(s)")
	public void startFleet(int prefills, int decodes) {
		this.scenario.start(new FleetPlan(ScenarioFleet.vms(2, 1), ScenarioFleet.engines(prefills, decodes, 1, 64, 5),
				List.of(new Team("recovery", 100_000, 600_000, 1, null)), Map.of(KEY, "recovery"), "fair-queue"));
	}

	private LocalFleet fleet() {
		return this.scenario.fleet();
	}

	private FleetClient client() {
		return this.scenario.client();
	}

	/** Stops the fleet. */
	@After
	public void stopFleet() {
		this.scenario.close();
	}

	@When("engine {string} stops")
	public void stopEngine(String id) {
		fleet().engine(id).close();
	}

	@When("the store goes down")
	public void stopStore() {
		fleet().platform().faults().down(true);
	}

	@When("{int} callers ask for {int} tokens one after another")
	public void sendInSequence(int callers, int tokens) {
		for (int caller = 0; caller < callers; caller++) {
			this.responses.add(client().sendWithRateLimitRetries(client().chat("vm-0", KEY, MODEL, "x", tokens)));
		}
	}

	/**
	 * Sends a streamed request and withdraws its key after the first event.
	 * @param tokens the maximum number of output tokens of the request
	 * @throws IOException if the connection fails
	 */
	@When("a caller asks for {int} tokens and its key is withdrawn while they arrive")
	public void withdrawKey(int tokens) throws IOException {
		String keyId = "key-" + Hashes.sha256(KEY).substring(0, 8);
		Ticket ticket = new Ticket(2, "test", List.of(TicketChange.delete(ObjectKind.KEY, keyId)));
		sendAndRunAfterFirstEvent(tokens, () -> assertThat(client().submit("vm-1", ticket).status()).isEqualTo(201));
	}

	/**
	 * Sends a streamed request and starts the graceful shutdown of its VM after the first
	 * event.
	 * @param tokens the maximum number of output tokens of the request
	 * @throws IOException if the connection fails
	 * @throws InterruptedException if the test is interrupted
	 */
	@When("a caller asks for {int} tokens and its VM shuts down gracefully while they arrive")
	public void shutDown(int tokens) throws IOException, InterruptedException {
		Thread stopper = new Thread(() -> fleet().stopDaemon("vm-0"), "stopper");
		sendAndRunAfterFirstEvent(tokens, stopper::start);
		stopper.join();
	}

	private void sendAndRunAfterFirstEvent(int tokens, Runnable afterFirstEvent) throws IOException {
		OkHttpClient caller = new OkHttpClient.Builder().readTimeout(Duration.ofSeconds(30)).build();
		try (Response response = caller.newCall(client().chat("vm-0", KEY, MODEL, "x", tokens)).execute()) {
			String firstLine = response.body().source().readUtf8LineStrict();
			afterFirstEvent.run();
			this.responses.add(new FleetResponse(response.code(), "", firstLine + "\n" + response.body().string()));
		}
	}

	@When("a keyed non-idempotent request is sent to two VMs")
	public void sendKeyed() {
		for (String vmId : fleet().vmIds()) {
			Request request = client().chat(vmId, KEY, MODEL, "book a visit", 4);
			this.responses.add(client().send(request.newBuilder()
				.header("Idempotency-Key", "visit-1")
				.header("X-Skylark-Non-Idempotent", "true")
				.build()));
		}
	}

	@When("a caller asks for {int} tokens without streaming")
	public void sendWithoutStreaming(int tokens) {
		this.responses.add(client().sendWithRateLimitRetries(client().chat("vm-0", KEY, MODEL, "x", tokens)
			.newBuilder()
			.post(RequestBody.create(requestBody(tokens), MediaType.get("application/json")))
			.build()));
	}

	@Then("every answer is whole and has the tokens 1 to {int}")
	public void responsesAreComplete(int tokens) {
		assertThat(this.responses).isNotEmpty();
		for (FleetResponse response : this.responses) {
			assertThat(response.isCompleteStream()).isTrue();
			StringBuilder text = new StringBuilder();
			response.body()
				.lines()
				.filter((line) -> line.startsWith("data: {"))
				.forEach((line) -> text.append(content(line.substring("data: ".length()), "delta")));
			assertThat(text.toString()).isEqualTo(expectedText(tokens));
		}
	}

	private static String expectedText(int tokens) {
		return EngineStandIn.outputText(json(requestBody(tokens)));
	}

	private static String requestBody(int tokens) {
		return "{\"model\":\"%s\",\"max_tokens\":%d,\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}"
			.formatted(MODEL, tokens);
	}

	private static String content(String document, String field) {
		return json(document).path("choices").path(0).path(field).path("content").asText();
	}

	private static JsonNode json(String text) {
		try {
			return new ObjectMapper().readTree(text);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("not valid JSON: " + text, ex);
		}
	}

	@Then("the stream ends with error {string} and without an end marker")
	public void streamEndsWithError(String error) {
		assertThat(this.responses).hasSize(1);
		assertThat(this.responses.get(0).status()).isEqualTo(200);
		assertThat(this.responses.get(0).body()).contains(error);
		assertThat(this.responses.get(0).isCompleteStream()).isFalse();
	}

	@Then("both answers are equal")
	public void responsesAreEqual() {
		assertThat(this.responses).hasSize(2);
		assertThat(this.responses.get(0).isCompleteStream()).isTrue();
		assertThat(this.responses.get(1).body()).isEqualTo(this.responses.get(0).body());
	}

	@Then("both answers have status {int} and verdict {string}")
	public void responsesHaveStatus(int status, String verdict) {
		assertThat(this.responses).hasSize(2);
		for (FleetResponse response : this.responses) {
			assertThat(response.status()).isEqualTo(status);
			assertThat(response.verdict()).isEqualTo(verdict);
		}
	}

	@Then("the answer is whole and has {int} tokens")
	public void responseIsComplete(int tokens) {
		assertThat(this.responses).hasSize(1);
		assertThat(this.responses.get(0).status()).isEqualTo(200);
		assertThat(content(this.responses.get(0).body(), "message")).isEqualTo(expectedText(tokens));
		assertThat(this.responses.get(0).body()).contains("\"finish_reason\":\"length\"");
	}

}
