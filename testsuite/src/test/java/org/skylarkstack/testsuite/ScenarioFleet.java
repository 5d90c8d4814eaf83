package org.skylarkstack.testsuite;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.configuration.EngineRole;
import org.skylarkstack.fleet.EnginePlan;
import org.skylarkstack.fleet.FleetClient;
import org.skylarkstack.fleet.FleetPlan;
import org.skylarkstack.fleet.LocalFleet;
import org.skylarkstack.fleet.VmPlan;

import static com.google.common.truth.Truth.assertThat;

/**
 * Local fleet of one scenario, which is closed with it.
 */
final class ScenarioFleet implements AutoCloseable {

	/** Model that all engines serve. */
	static final String MODEL = "model";

	private static final int DECODE_SLOTS = 20;

	private static final int PREFILL_TOKENS_PER_SECOND = 20_000;

	private static final Duration READY_TIMEOUT = Duration.ofSeconds(60);

	private @Nullable LocalFleet fleet;

	static List<VmPlan> vms(int count, int dataCentres) {
		List<VmPlan> vms = new ArrayList<>();
		for (int vm = 0; vm < count; vm++) {
			vms.add(new VmPlan("vm-" + vm, "dc-" + vm % dataCentres));
		}
		return vms;
	}

	static List<EnginePlan> engines(int prefills, int decodes, int dataCentres, int pieces, int tokenMillis) {
		List<EnginePlan> engines = new ArrayList<>();
		for (int engine = 0; engine < prefills + decodes; engine++) {
			EngineRole role = (engine < prefills) ? EngineRole.PREFILL : EngineRole.DECODE;
			engines.add(new EnginePlan("engine-" + engine, "dc-" + engine % dataCentres, MODEL, role, DECODE_SLOTS,
					pieces, PREFILL_TOKENS_PER_SECOND, tokenMillis));
		}
		return engines;
	}

	/**
	 * Starts the fleet, submits its first ticket and waits until all daemons are ready.
	 * @param plan the configuration of the fleet
	 */
	void start(FleetPlan plan) {
		this.fleet = LocalFleet.start(plan);
		assertThat(client().submit("vm-0", fleet().firstTicket()).status()).isEqualTo(201);
		assertThat(client().awaitReady(READY_TIMEOUT)).isAtLeast(0L);
	}

	LocalFleet fleet() {
		return Objects.requireNonNull(this.fleet);
	}

	FleetClient client() {
		return new FleetClient(fleet());
	}

	@Override
	public void close() {
		if (this.fleet != null) {
			this.fleet.close();
		}
	}

}
