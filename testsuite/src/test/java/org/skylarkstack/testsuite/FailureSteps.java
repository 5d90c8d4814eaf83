package org.skylarkstack.testsuite;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.BooleanSupplier;
import java.util.stream.Stream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import okhttp3.MediaType;
import okhttp3.RequestBody;
import org.jspecify.annotations.Nullable;
import org.skylarkstack.configuration.EngineRole;
import org.skylarkstack.configuration.Route;
import org.skylarkstack.configuration.Team;
import org.skylarkstack.fleet.FleetClient;
import org.skylarkstack.fleet.FleetPlan;
import org.skylarkstack.fleet.FleetResponse;
import org.skylarkstack.fleet.LocalFleet;
import org.skylarkstack.fleet.ServicePlan;
import org.skylarkstack.standin.EngineStandIn;
import org.skylarkstack.standin.EngineWorkCounts;
import org.skylarkstack.standin.PlainServiceFault;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Steps about failures of components of a fleet. Waits end as soon as their condition
 * holds; their time-outs only keep a failed scenario from hanging.
 */
public class FailureSteps {

	private static final String MODEL = ScenarioFleet.MODEL;

	private static final String KEY = "key-of-failures";

	private static final String SERVICE = "records";

	private static final String CRASH_MARKER = "[crash]";

	private static final String MARKED_CALLER = "marked";

	private static final String EVENT_PREFIX = "data: ";

	private static final int CALLERS = 4;

	private static final Duration MAX_WAIT = Duration.ofSeconds(60);

	private static final long POLL_MILLIS = 10;

	// Long enough for a daemon to check whether the engine is alive before it restarts:
	// otherwise the daemon does not count the engine as crashed.
	private static final int ENGINE_RESTART_MILLIS = 2_000;

	private final ObjectMapper mapper = new ObjectMapper();

	private final ExecutorService callers = Executors.newFixedThreadPool(CALLERS);

	private final Map<String, JsonNode> requestBodies = new ConcurrentHashMap<>();

	private final Map<String, CompletableFuture<FleetResponse>> streams = new HashMap<>();

	private final List<FleetResponse> responses = new ArrayList<>();

	private EngineRole markedRole = EngineRole.PREFILL;

	private final ScenarioFleet scenario = new ScenarioFleet();

	@Given("a fleet of {int} VMs for failures with {int} prefill and {int} decode engine(s) and {int} ms a token")
	public void startFleet(int vms, int prefills, int decodes, int tokenMillis) {
		this.scenario.start(new FleetPlan(ScenarioFleet.vms(vms, 1),
				ScenarioFleet.engines(prefills, decodes, 1, 640, tokenMillis),
				List.of(new Team("failures", 100_000, 600_000, 1, null)), Map.of(KEY, "failures"),
				List.of(new ServicePlan(SERVICE, List.of("dc-0", "dc-0"))),
				List.of(new Route("bookings", "/bookings", Set.of("POST"), SERVICE, false, true)), "fair-queue"));
	}

	private LocalFleet fleet() {
		return this.scenario.fleet();
	}

	private FleetClient client() {
		return this.scenario.client();
	}

	/** Stops the callers and the fleet. */
	@After
	public void stopFleet() {
		this.callers.shutdownNow();
		this.scenario.close();
	}

	private Stream<EngineStandIn> engines() {
		return fleet().plan().engines().stream().map((engine) -> fleet().engine(engine.id()));
	}

	private Stream<EngineStandIn> engines(EngineRole role) {
		return fleet().plan()
			.engines()
			.stream()
			.filter((engine) -> engine.role() == role)
			.map((engine) -> fleet().engine(engine.id()));
	}

	private static void await(String description, BooleanSupplier condition) {
		long deadline = System.nanoTime() + MAX_WAIT.toNanos();
		boolean holds = condition.getAsBoolean();
		while (!holds && System.nanoTime() < deadline) {
			pause();
			holds = condition.getAsBoolean();
		}
		assertWithMessage(description).that(holds).isTrue();
	}

	private static void pause() {
		try {
			Thread.sleep(POLL_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private FleetResponse sendChat(String vmId, String caller, String prompt, int tokens) {
		ObjectNode body = this.mapper.createObjectNode()
			.put("model", MODEL)
			.put("stream", true)
			.put("max_tokens", tokens)
			.put("user", caller);
		body.putArray("messages").addObject().put("role", "user").put("content", prompt);
		this.requestBodies.put(caller, body);
		return client().send(client().chat(vmId, KEY, MODEL, prompt, tokens)
			.newBuilder()
			.post(RequestBody.create(body.toString(), MediaType.get("application/json")))
			.build());
	}

	private String streamedText(FleetResponse response) {
		StringBuilder streamedText = new StringBuilder();
		response.body()
			.lines()
			.filter((line) -> line.startsWith(EVENT_PREFIX + "{"))
			.forEach((line) -> streamedText.append(content(line.substring(EVENT_PREFIX.length()))));
		return streamedText.toString();
	}

	private String content(String event) {
		try {
			return this.mapper.readTree(event).at("/choices/0/delta/content").asText();
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("event %s is not JSON".formatted(event), ex);
		}
	}

	private void assertCompleteText(String caller, FleetResponse response) {
		assertWithMessage("response %s", response).that(response.isCompleteStream()).isTrue();
		assertThat(streamedText(response))
			.isEqualTo(EngineStandIn.outputText(Objects.requireNonNull(this.requestBodies.get(caller))));
	}

	private static EngineWorkCounts workCounts(EngineStandIn engine, String caller) {
		return engine.workCountsByUser().getOrDefault(caller, EngineWorkCounts.NONE);
	}

	@When("{string} is asked for {int} tokens by {string}")
	public void startStream(String vmId, int tokens, String caller) {
		this.streams.put(caller, CompletableFuture
			.supplyAsync(() -> sendChat(vmId, caller, "report for " + caller, tokens), this.callers));
	}

	private EngineStandIn awaitDecode(String caller, int tokens) {
		await("%d tokens decoded for %s".formatted(tokens, caller),
				() -> engines().anyMatch((engine) -> workCounts(engine, caller).outputTokens() >= tokens));
		return engines().filter((engine) -> workCounts(engine, caller).outputTokens() >= tokens)
			.findFirst()
			.orElseThrow();
	}

	@When("{int} tokens were decoded for {string} and for {string}")
	public void awaitDecodes(int tokens, String caller, String other) {
		awaitDecode(caller, tokens);
		awaitDecode(other, tokens);
	}

	@When("the engine that decodes for {string} crashes after {int} tokens")
	public void crashDecodeEngine(String caller, int tokens) {
		awaitDecode(caller, tokens).crash(ENGINE_RESTART_MILLIS);
	}

	@When("the connections of the engine that decodes for {string} go silent after {int} tokens")
	public void freezeConnections(String caller, int tokens) {
		awaitDecode(caller, tokens).freezeConnections();
	}

	@Then("{string} gets the text of the model once and whole")
	public void streamIsComplete(String caller) {
		CompletableFuture<FleetResponse> stream = Objects.requireNonNull(this.streams.get(caller));
		await("end of the stream of " + caller, stream::isDone);
		assertCompleteText(caller, stream.join());
	}

	@Then("{int} engine(s) decoded for {string}")
	public void enginesDecoded(int count, String caller) {
		assertThat(engines().mapToInt((engine) -> workCounts(engine, caller).decodes()).sum()).isEqualTo(count);
	}

	@Then("no engine holds anything in the end")
	public void enginesHoldNothing() {
		await("engines hold nothing", () -> engines().allMatch((engine) -> engine.held().isEmpty()));
	}

	@When("a marked prompt crashes every {word} engine that runs it")
	public void markPrompt(String role) {
		this.markedRole = EngineRole.valueOf(role.toUpperCase(Locale.ROOT));
		engines(this.markedRole).forEach((engine) -> {
			engine.faults().restartAfter(ENGINE_RESTART_MILLIS);
			engine.faults().crashOn(CRASH_MARKER);
		});
	}

	@When("its caller sends it {int} times through each VM")
	public void sendMarked(int times) {
		for (int time = 0; time < times; time++) {
			fleet().vmIds()
				.forEach((vmId) -> this.responses.add(sendChat(vmId, MARKED_CALLER, "sum up " + CRASH_MARKER, 8)));
		}
	}

	// A marked request crashes each engine on which it begins a prefill or produces a
	// token of a decode, so the number of these prefills or decodes is the number of
	// crashed engines.
	private int crashedEngines() {
		return engines(this.markedRole).map((engine) -> workCounts(engine, MARKED_CALLER))
			.mapToInt((counts) -> (this.markedRole == EngineRole.PREFILL) ? counts.prefills() : counts.decodes())
			.sum();
	}

	@Then("it cost at least {int} and at most {int} engines")
	public void crashedBetween(int least, int most) {
		assertThat(this.responses.stream().noneMatch(FleetResponse::isCompleteStream)).isTrue();
		assertThat(crashedEngines()).isAtLeast(least);
		assertThat(crashedEngines()).isAtMost(most);
	}

	@Then("its last answer names the error {string}")
	public void lastResponseNames(String error) {
		assertThat(this.responses.get(this.responses.size() - 1).body()).contains(error);
	}

	@Then("{string} gets {int} tokens whole through each VM")
	public void responsesAreComplete(String caller, int tokens) {
		fleet().vmIds()
			.forEach((vmId) -> assertCompleteText(caller, sendChat(vmId, caller, "register of " + vmId, tokens)));
	}

	@Given("the engines do not notice broken connections")
	public void keepAfterDisconnect() {
		engines().forEach((engine) -> engine.faults().keepAfterDisconnect(true));
	}

	@When("the daemon of {string} is killed and starts again")
	public void restart(String vmId) {
		kill(vmId);
		fleet().startDaemon(vmId);
	}

	private void kill(String vmId) {
		fleet().killDaemon(vmId);
		assertThat(enginesHoldMemoryOf(vmId)).isTrue();
	}

	// Waits until all peers have read the VM in the VM list. A peer regards a VM that it
	// has never read there as not listed yet, and its removal from the list as a delay
	// of the list.
	private void awaitListed(String vmId) {
		await("all peers have read %s in the VM list".formatted(vmId),
				() -> fleet().vmIds()
					.stream()
					.filter((peer) -> !peer.equals(vmId))
					.allMatch((peer) -> fleet().daemon(peer)
						.membership()
						.peers()
						.stream()
						.anyMatch((status) -> status.member().vmId().equals(vmId) && status.listed())));
	}

	@When("the daemon of {string} is killed and is not listed")
	public void killAndUnlist(String vmId) {
		awaitListed(vmId);
		kill(vmId);
		fleet().platform().vmList().remove(vmId);
	}

	/**
	 * Blocks the connections between a VM and its peers and removes it from the VM list,
	 * so that all peers consider it dead although it still uses its engines.
	 * @param vmId the VM
	 */
	@When("{string} is cut off from its peers and is not listed")
	public void cutOff(String vmId) {
		awaitListed(vmId);
		fleet().vmIds().stream().filter((peer) -> !peer.equals(vmId)).forEach((peer) -> {
			fleet().daemon(vmId).transport().blockPeer(peer, true);
			fleet().daemon(peer).transport().blockPeer(vmId, true);
		});
		fleet().platform().vmList().remove(vmId);
	}

	private boolean enginesHoldMemoryOf(String vmId) {
		return engines()
			.anyMatch((engine) -> engine.held().stream().anyMatch((held) -> held.owner().startsWith(vmId + ".")));
	}

	@Then("the engines hold nothing for {string} in the end")
	public void memoryIsReleased(String vmId) {
		await("engines have released the memory of %s".formatted(vmId), () -> !enginesHoldMemoryOf(vmId));
	}

	@Then("nobody finished the decode for {string}")
	public void decodeIsNotFinished(String caller) {
		assertThat(engines().mapToInt((engine) -> workCounts(engine, caller).finished()).sum()).isEqualTo(0);
	}

	@When("the store of the failing fleet is down")
	public void stopPlatform() {
		fleet().platform().faults().down(true);
	}

	@When("the store of the failing fleet is up again")
	public void resumePlatform() {
		fleet().platform().faults().down(false);
	}

	private FleetResponse book(String vmId, @Nullable String key) {
		return client().send(client().service(vmId, KEY, "/bookings", "{\"visit\":1}", key));
	}

	@When("a booking with key {string} is sent through each VM")
	public void bookThroughEachVm(String key) {
		fleet().vmIds().forEach((vmId) -> this.responses.add(book(vmId, key)));
	}

	@When("a booking without a key is sent through {string}")
	public void bookWithoutKey(String vmId) {
		this.responses.add(book(vmId, null));
	}

	@Then("each booking has status {int} and verdict {string}")
	public void bookingsHave(int status, String verdict) {
		assertThat(this.responses).isNotEmpty();
		for (FleetResponse response : this.responses) {
			assertThat(response.status()).isEqualTo(status);
			assertThat(response.verdict()).isEqualTo(verdict);
		}
	}

	@Then("each booking has no success and verdict {string}")
	public void bookingsFail(String verdict) {
		assertThat(this.responses).isNotEmpty();
		for (FleetResponse response : this.responses) {
			assertThat(response.status()).isAtLeast(400);
			assertThat(response.verdict()).isEqualTo(verdict);
		}
	}

	// Repeats the booking only if it was rejected as not run.
	@Then("a booking with key {string} succeeds in the end")
	public void bookingSucceeds(String key) {
		await("success of booking " + key, () -> {
			FleetResponse response = book("vm-1", key);
			if (response.status() != 201) {
				assertThat(response.verdict()).isEqualTo("not-run");
			}
			return response.status() == 201;
		});
	}

	@When("the service drops the connection of its next booking after the effect")
	public void dropAfterEffect() {
		fleet().servers(SERVICE).forEach((server) -> server.inject(PlainServiceFault.DROP_AFTER_EFFECT, 1));
	}

	@Then("the service saw {int} booking(s)")
	public void serviceSaw(int bookings) {
		assertThat(fleet().servers(SERVICE).stream().mapToInt((server) -> server.requests().size()).sum())
			.isEqualTo(bookings);
		assertThat(fleet().servers(SERVICE).stream().mapToInt((server) -> server.effects().size()).sum())
			.isEqualTo(bookings);
	}

}
