package org.skylarkstack.schedule;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.skylarkstack.configuration.EngineNode;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Tests of the placement protocol between several VMs, in {@link PlacementClient} and
 * {@link PlacementOwner}.
 */
class PlacementFleetTests {

	private static final long MILLIS = Engines.MILLIS;

	private static final List<EngineNode> ENGINES = List.of(Engines.prefill("p1"), Engines.prefill("p2"),
			Engines.decode("d1", 3, 6), Engines.decode("d2", 3, 6));

	private final PlacementFleet fleet = new PlacementFleet(new Random(1), 3, ENGINES);

	private static CompletableFuture<Placement> offer(PlacementFleet fleet, String vmId, PlacementRequest request) {
		CompletableFuture<Placement> result = new CompletableFuture<>();
		PlacementFleet.Vm vm = fleet.vms.get(vmId);
		if (vm == null) {
			throw new IllegalArgumentException(vmId + " does not run");
		}
		vm.client.offer(request, result, fleet.nowNanos);
		return result;
	}

	private static void assertNothingHeld(String context, PlacementFleet fleet) {
		for (PlacementFleet.Vm vm : fleet.vms.values()) {
			assertWithMessage("%s: grants at %s", context, vm.vmId).that(vm.owner.grantCount("m", fleet.nowNanos))
				.isEqualTo(0);
			assertWithMessage("%s: queued at %s", context, vm.vmId).that(vm.owner.queuedCount("m", fleet.nowNanos))
				.isEqualTo(0);
			assertWithMessage("%s: pending at %s", context, vm.vmId).that(vm.client.pendingCount()).isEqualTo(0);
			assertWithMessage("%s: ends at %s", context, vm.vmId).that(vm.client.unconfirmedEndCount()).isEqualTo(0);
		}
	}

	private String otherThanOwner() {
		String owner = this.fleet.ownerOf("m");
		return this.fleet.vms.keySet().stream().filter((vmId) -> !vmId.equals(owner)).findFirst().orElseThrow();
	}

	private PlacementOwner owner() {
		PlacementFleet.Vm vm = this.fleet.vms.get(this.fleet.ownerOf("m"));
		if (vm == null) {
			throw new IllegalStateException("the owner does not run");
		}
		return vm.owner;
	}

	/**
	 * Guards against a request that waits without end because its VM cannot reach the
	 * owner: the VM must decide locally after the response timeout.
	 */
	@Test
	void decidesLocallyWhenOwnerIsUnreachable() {
		String vmId = otherThanOwner();
		this.fleet.network.cut(vmId, this.fleet.ownerOf("m"), true);
		CompletableFuture<Placement> result = offer(this.fleet, vmId,
				Engines.request("r", "t", RequestClass.INTERACTIVE, 100));
		this.fleet.run(40 * MILLIS);
		assertThat(result.isDone()).isFalse();
		this.fleet.run(20 * MILLIS);
		assertThat(result.join().requestId()).isEqualTo("r");
	}

	/**
	 * Guards against a local decision about a request that is still queued at its owner:
	 * while the owner confirms the request, its VM must keep waiting.
	 */
	@Test
	void keepsWaitingWhileOwnerConfirms() {
		String vmId = otherThanOwner();
		List<CompletableFuture<Placement>> results = new ArrayList<>();
		for (int i = 0; i < 7; i++) {
			results.add(offer(this.fleet, vmId, Engines.request("r" + i, "t" + i, RequestClass.INTERACTIVE, 100)));
		}
		this.fleet.run(250 * MILLIS);
		assertThat(results.stream().filter(CompletableFuture::isDone).count()).isEqualTo(6);
		assertThat(owner().queuedCount("m", this.fleet.nowNanos)).isEqualTo(1);
		this.fleet.run(400 * MILLIS);
		CompletableFuture<Placement> last = results.stream()
			.filter(CompletableFuture::isCompletedExceptionally)
			.findFirst()
			.orElseThrow();
		AtomicReference<Throwable> cause = new AtomicReference<>();
		last.whenComplete((placement, failure) -> cause.set(failure));
		assertThat(cause.get()).isInstanceOf(RouterException.class);
		assertThat(cause.get()).hasMessageThat().isEqualTo(ErrorType.DEADLINE_UNREACHABLE.message(520));
	}

	/**
	 * Guards against a request that stays queued at the owner after its caller has
	 * cancelled it.
	 */
	@Test
	void withdrawsCancelledRequest() {
		String vmId = otherThanOwner();
		CompletableFuture<Placement> result = offer(this.fleet, vmId,
				Engines.request("r", "t", RequestClass.BATCH, 20_000));
		this.fleet.run(100 * MILLIS);
		assertThat(owner().queuedCount("m", this.fleet.nowNanos)).isEqualTo(1);
		result.cancel(false);
		this.fleet.run(50 * MILLIS);
		assertNothingHeld("after the cancel", this.fleet);
	}

	/**
	 * Guards against a queued request that is lost when its owner crashes: its VM must
	 * offer it to the new owner.
	 */
	@Test
	void offersAgainWhenOwnerDies() {
		String vmId = otherThanOwner();
		CompletableFuture<Placement> result = offer(this.fleet, vmId,
				Engines.request("r", "t", RequestClass.BATCH, 20_000));
		this.fleet.run(100 * MILLIS);
		this.fleet.kill(this.fleet.ownerOf("m"));
		this.fleet.run(100 * MILLIS);
		assertThat(result.isDone()).isFalse();
		assertThat(owner().queuedCount("m", this.fleet.nowNanos)).isEqualTo(1);
	}

	/** Guards against engines that stay reserved for the requests of a dead VM. */
	@Test
	void freesGrantsOfDeadVm() {
		String vmId = otherThanOwner();
		CompletableFuture<Placement> result = offer(this.fleet, vmId,
				Engines.request("r", "t", RequestClass.INTERACTIVE, 100));
		this.fleet.run(50 * MILLIS);
		assertThat(result.isDone()).isTrue();
		this.fleet.kill(vmId);
		this.fleet.run(50 * MILLIS);
		assertNothingHeld("after the death", this.fleet);
	}

	/**
	 * Guards against a new owner that reuses reserved engines because it has not recorded
	 * the grants of the former owner: it must record them when they are renewed.
	 */
	@Test
	void newOwnerAdoptsRenewedGrants() {
		String vmId = otherThanOwner();
		CompletableFuture<Placement> result = offer(this.fleet, vmId,
				Engines.request("r", "t", RequestClass.INTERACTIVE, 100));
		this.fleet.run(50 * MILLIS);
		this.fleet.kill(this.fleet.ownerOf("m"));
		this.fleet.run(3_100 * MILLIS);
		assertThat(owner().grantCount("m", this.fleet.nowNanos)).isEqualTo(1);
		this.fleet.run(20_000 * MILLIS);
		assertThat(owner().grantCount("m", this.fleet.nowNanos)).isEqualTo(1);
		PlacementFleet.Vm holder = this.fleet.vms.get(vmId);
		assertThat(holder).isNotNull();
		if (holder != null) {
			holder.client.release(result.join(), new PlacementRelease(120, ""), this.fleet.nowNanos);
		}
		this.fleet.run(50 * MILLIS);
		assertNothingHeld("after the release", this.fleet);
	}

	/**
	 * Guards against grants that are never freed and requests that are never answered,
	 * after random network cuts, VM crashes, restarts, cancelled requests, delays and
	 * duplicated messages.
	 */
	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5, 6, 7, 8, 9, 10 })
	void holdsNothingAfterRandomFaults(long seed) {
		RandomGenerator random = new Random(seed);
		PlacementFleet faulty = new PlacementFleet(random, 3, ENGINES);
		List<Caller> callers = new ArrayList<>();
		for (int step = 0; step < 1_500; step++) {
			faulty.run(PlacementFleet.STEP_NANOS * (1 + random.nextInt(4)));
			String vmId = "vm" + random.nextInt(3);
			String other = "vm" + random.nextInt(3);
			switch (random.nextInt(40)) {
				case 0 -> faulty.network.cut(vmId, other, !vmId.equals(other));
				case 1, 2, 3 -> faulty.network.cut(vmId, other, false);
				case 4 -> {
					if (faulty.vms.size() > 1) {
						faulty.kill(vmId);
					}
				}
				case 5, 6 -> {
					if (!faulty.vms.containsKey(vmId)) {
						faulty.start(vmId);
					}
				}
				default -> {
					PlacementFleet.Vm vm = faulty.vms.get(vmId);
					if (vm != null) {
						RequestClass kind = RequestClass.values()[random.nextInt(2)];
						PlacementRequest request = Engines.request(vmId + "." + step, "t" + random.nextInt(3), kind,
								1 + random.nextInt(3_000));
						callers.add(new Caller(vm, offer(faulty, vmId, request)));
					}
				}
			}
			endRandomCaller(callers, random, faulty.nowNanos);
		}
		for (int i = 0; i < 3; i++) {
			faulty.network.cut("vm" + i, "vm" + (i + 1) % 3, false);
			if (!faulty.vms.containsKey("vm" + i)) {
				faulty.start("vm" + i);
			}
		}
		for (int i = 0; i < 200; i++) {
			faulty.run(100 * MILLIS);
			callers.forEach((caller) -> caller.release(faulty.nowNanos));
		}
		faulty.run(15_000 * MILLIS);
		assertNothingHeld("seed " + seed, faulty);
		for (Caller caller : callers) {
			boolean alive = faulty.vms.containsValue(caller.vm);
			assertWithMessage("seed %s: answered", seed).that(caller.result.isDone() || !alive).isTrue();
		}
	}

	private static void endRandomCaller(List<Caller> callers, RandomGenerator random, long nowNanos) {
		if (callers.isEmpty()) {
			return;
		}
		Caller caller = callers.get(random.nextInt(callers.size()));
		if (random.nextInt(4) == 0) {
			caller.result.cancel(false);
		}
		caller.release(nowNanos);
	}

	/**
	 * Caller that waits for the placement of one request.
	 */
	private static final class Caller {

		private final PlacementFleet.Vm vm;

		private final CompletableFuture<Placement> result;

		Caller(PlacementFleet.Vm vm, CompletableFuture<Placement> result) {
			this.vm = vm;
			this.result = result;
		}

		private void release(long nowNanos) {
			if (this.result.isDone() && !this.result.isCompletedExceptionally()) {
				this.vm.client.release(this.result.join(), new PlacementRelease(50, ""), nowNanos);
			}
		}

	}

}
