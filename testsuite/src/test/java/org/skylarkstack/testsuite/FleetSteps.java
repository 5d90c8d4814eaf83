package org.skylarkstack.testsuite;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import org.skylarkstack.configuration.Team;
import org.skylarkstack.fleet.FleetClient;
import org.skylarkstack.fleet.FleetPlan;
import org.skylarkstack.fleet.FleetResponse;
import org.skylarkstack.fleet.LocalFleet;

import static com.google.common.truth.Truth.assertThat;

/**
 * Steps about fleets and completion requests.
 */
public class FleetSteps {

	private static final String MODEL = ScenarioFleet.MODEL;

	private static final String KEY = "key-of-registers";

	private final List<FleetResponse> responses = new ArrayList<>();

	private final ScenarioFleet scenario = new ScenarioFleet();

	/**
	 * Starts a fleet and configures it with one team.
	 * @param vms the number of VMs
	 * @param dataCentres the number of data centres
	 * @param prefills the number of prefill engines
	 * @param decodes the number of decode engines
	 */
	@Given("a fleet of {int} VMs in {int} data centres with {int} prefill engine(s) and {int} decode engine(s)")
	public void startFleet(int vms, int dataCentres, int prefills, int decodes) {
		this.scenario.start(new FleetPlan(ScenarioFleet.vms(vms, dataCentres),
				ScenarioFleet.engines(prefills, decodes, dataCentres, 64, 5),
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

	@When("team {string} asks each VM for {int} tokens")
	public void sendToEachVm(String team, int tokens) {
		fleet().vmIds()
			.forEach((vmId) -> this.responses.add(client()
				.sendWithRateLimitRetries(client().chat(vmId, "key-of-" + team, MODEL, "summarise the term", tokens))));
	}

	@When("a caller with an unknown key asks for {int} tokens")
	public void sendWithUnknownKey(int tokens) {
		String vmId = fleet().vmIds().get(0);
		this.responses.add(client().send(client().chat(vmId, "unknown", MODEL, "summarise the term", tokens)));
	}

	@Then("each answer is whole and has {int} tokens")
	public void responsesAreComplete(int tokens) {
		assertThat(this.responses).isNotEmpty();
		for (FleetResponse response : this.responses) {
			assertThat(response.isCompleteStream()).isTrue();
			assertThat(response.body().split("\"delta\"", -1).length - 1).isEqualTo(tokens);
		}
	}

	@Then("the answer has status {int} and verdict {string}")
	public void responseHasStatus(int status, String verdict) {
		assertThat(this.responses).hasSize(1);
		assertThat(this.responses.get(0).status()).isEqualTo(status);
		assertThat(this.responses.get(0).verdict()).isEqualTo(verdict);
	}

}
