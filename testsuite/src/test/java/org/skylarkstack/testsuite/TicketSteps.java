package org.skylarkstack.testsuite;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.BooleanSupplier;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import okhttp3.Request;
import org.jspecify.annotations.Nullable;
import org.skylarkstack.configuration.Team;
import org.skylarkstack.configuration.Ticket;
import org.skylarkstack.configuration.TicketChange;
import org.skylarkstack.fleet.FleetClient;
import org.skylarkstack.fleet.FleetPlan;
import org.skylarkstack.fleet.FleetResponse;
import org.skylarkstack.fleet.LocalFleet;
import org.skylarkstack.tool.Main;

import static com.google.common.truth.Truth.assertThat;

/**
 * Steps about change tickets.
 */
public class TicketSteps {

	private static final String KEY = "key-of-registers";

	private static final Duration TIMEOUT = Duration.ofSeconds(30);

	private static final long POLL_MILLIS = 50;

	private final List<Integer> exitCodes = new ArrayList<>();

	private final ScenarioFleet scenario = new ScenarioFleet();

	private @Nullable FleetResponse ticketResponse;

	private String lastBody = "";

	/**
	 * Starts a fleet without engines and configures it with one team.
	 * @param vms the number of VMs
	 * @param dataCentres the number of data centres
	 */
	@Given("a fleet of {int} VMs in {int} data centres that takes tickets")
	public void startFleet(int vms, int dataCentres) {
		this.scenario.start(new FleetPlan(ScenarioFleet.vms(vms, dataCentres), List.of(),
				List.of(new Team("registers", 10_000, 60_000, 1, null)), Map.of(KEY, "registers"), "fair-queue"));
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

	@When("operator {string} submits ticket {int} that adds team {string} through VM {int}")
	public void addTeam(String operator, int number, String team, int vm) {
		submit(operator, number, new Team(team, 1_000, 5_000, 1, null), vm);
	}

	@When("operator {string} submits ticket {int} that lets key state of team {string} be {int} seconds old "
			+ "through VM {int}")
	public void limitKeyStateAge(String operator, int number, String team, int seconds, int vm) {
		submit(operator, number, new Team(team, 10_000, 60_000, 1, seconds), vm);
		ticketIsRecorded();
	}

	private void submit(String operator, int number, Team team, int vm) {
		this.ticketResponse = client().submit("vm-" + vm,
				new Ticket(number, operator, List.of(TicketChange.set(team))));
	}

	@When("an operator applies ticket {int} on the command line twice")
	public void applyOnCommandLine(int number) throws IOException {
		Path key = Files.writeString(Files.createTempFile("operator", ".key"), LocalFleet.OPERATOR_KEY + "\n");
		Path ticket = Files.createTempFile("ticket", ".json");
		Files.writeString(ticket, """
				{"number": %d, "author": "ann", "changes": [{"key": {"kind": "TEAM", "id": "pumps"}, "object":
				 {"kind": "TEAM", "id": "pumps", "tokensPerSecond": 5, "burstTokens": 5, "weight": 1}}]}
				""".formatted(number));
		this.exitCodes.clear();
		for (int attempt = 0; attempt < 2; attempt++) {
			this.exitCodes.add(Main.run(List.of("ticket", "--url", fleet().operatorUrl("vm-0"), "--key-file",
					key.toString(), "apply", ticket.toString())));
		}
		Files.delete(key);
		Files.delete(ticket);
	}

	@Then("the command succeeds")
	public void commandSucceeds() {
		assertThat(this.exitCodes).containsExactly(0, 0);
	}

	@Then("the command fails")
	public void commandFails() {
		assertThat(this.exitCodes).containsExactly(1, 1);
	}

	@Then("the last ticket is recorded")
	public void ticketIsRecorded() {
		assertThat(Objects.requireNonNull(this.ticketResponse).status()).isEqualTo(201);
	}

	@Then("the last ticket is refused with error {int} and {string}")
	public void ticketIsRejected(int code, String reason) {
		FleetResponse response = Objects.requireNonNull(this.ticketResponse);
		assertThat(response.verdict()).isEqualTo("not-run");
		assertThat(response.body()).contains("\"code\":" + code);
		assertThat(response.body()).contains(reason);
	}

	@Then("ticket {int} is in force on every VM")
	public void ticketIsInForce(int number) {
		await(() -> fleet().vmIds().stream().allMatch((vmId) -> {
			this.lastBody = getFromOperatorApi(vmId, "/configuration").body();
			return this.lastBody.contains("\"appliedNumber\":" + number + ",");
		}));
		for (String vmId : fleet().vmIds()) {
			String ticketState = getFromOperatorApi(vmId, "/tickets/" + number).body();
			assertThat(ticketState).containsMatch("\"inForceOn\":\\[[^]]*\"" + vmId + "\"");
		}
	}

	private FleetResponse getFromOperatorApi(String vmId, String path) {
		return client().send(new Request.Builder().url(fleet().operatorUrl(vmId) + "/operator/v1" + path)
			.header("Authorization", "Bearer " + LocalFleet.OPERATOR_KEY)
			.build());
	}

	@Given("the platform loses the next {int} reply")
	public void loseReplies(int count) {
		fleet().platform().faults().loseReplies(count);
	}

	@Given("the platform is down")
	public void platformDown() {
		fleet().platform().faults().down(true);
	}

	@When("the platform is up")
	public void platformUp() {
		fleet().platform().faults().down(false);
	}

	@Given("the platform takes a copy of its table")
	public void copyTable() {
		fleet().platform().copyTable();
	}

	@When("the platform restores its table from the copy")
	public void restoreTable() {
		fleet().platform().restoreTable();
	}

	@When("data centre {string} is cut off from the platform and its peers")
	public void cutOff(String dataCentre) {
		fleet().platform().faults().cutOff(dataCentre, true);
	}

	@When("data centre {string} is connected again")
	public void connect(String dataCentre) {
		fleet().platform().faults().cutOff(dataCentre, false);
	}

	@When("the daemon of VM {int} restarts")
	public void restart(int vm) {
		fleet().stopDaemon("vm-" + vm);
		fleet().startDaemon("vm-" + vm);
	}

	@Then("VM {int} is not ready")
	public void notReady(int vm) {
		assertThat(client().send(new Request.Builder().url(fleet().callerUrl("vm-" + vm) + "/readyz").build()).status())
			.isEqualTo(503);
	}

	@Then("the key of team {string} works on VM {int}")
	public void keyWorks(String team, int vm) {
		assertThat(getModels(team, vm).status()).isEqualTo(200);
	}

	@Then("the key of team {string} works on VM {int} again")
	public void keyWorksAgain(String team, int vm) {
		await(() -> getModels(team, vm).status() == 200);
	}

	@Then("the key of team {string} is refused on VM {int} with error {int}")
	public void keyIsRejected(String team, int vm, int code) {
		await(() -> getModels(team, vm).body().contains("\"code\":" + code));
		assertThat(getModels(team, vm).verdict()).isEqualTo("not-run");
	}

	private FleetResponse getModels(String team, int vm) {
		FleetResponse response = client().send(new Request.Builder().url(fleet().callerUrl("vm-" + vm) + "/v1/models")
			.header("Authorization", "Bearer key-of-" + team)
			.build());
		this.lastBody = response.body();
		return response;
	}

	private void await(BooleanSupplier condition) {
		long started = System.nanoTime();
		while (!condition.getAsBoolean()) {
			if (System.nanoTime() - started > TIMEOUT.toNanos()) {
				throw new AssertionError(
						"condition not reached within %s; last response body: %s".formatted(TIMEOUT, this.lastBody));
			}
			try {
				Thread.sleep(POLL_MILLIS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				throw new AssertionError("interrupted", ex);
			}
		}
	}

}
