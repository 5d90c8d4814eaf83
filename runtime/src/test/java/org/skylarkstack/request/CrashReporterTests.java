package org.skylarkstack.request;

import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.skylarkstack.kernel.CancelReason;
import org.skylarkstack.kernel.Cancellation;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.Exceptions;
import org.skylarkstack.kernel.PluginRegistry;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.peer.FakePeerNetwork;
import org.skylarkstack.peer.PeerMessageType;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a request that crashes one engine on each VM because the VMs do not
 * report their crashes to each other.
 */
class CrashReporterTests {

	private static final List<String> VMS = List.of("vm-0", "vm-1", "vm-2");

	private static final long SEED = 7;

	private final FakePeerNetwork network = new FakePeerNetwork(new Random(SEED), 1_000_000);

	private final FakeTableStore store = new FakeTableStore();

	private final List<RequestFixture> vms = VMS.stream()
		.map((vm) -> new RequestFixture(vm, VMS, this.network.join(vm), this.store))
		.toList();

	private final String fingerprint = RequestFixture.request(true).fingerprint(RequestFixture.TEAM.id());

	@AfterEach
	void close() {
		this.vms.forEach((vm) -> vm.canceller.close());
	}

	private RouterException failure(RequestFixture vm) {
		return Exceptions.assertThrows(RouterException.class, () -> vm.run(true, new Cancellation()));
	}

	private CompletableFuture<Void> broadcast(int vm, String crashId) {
		return this.vms.get(vm).crashReporter.broadcast(report(crashId), new Cancellation());
	}

	private CrashReport report(String crashId) {
		return new CrashReport(this.fingerprint, crashId, "d1", false, List.of(), false);
	}

	@Test
	void broadcastCompletesAfterAllPeersHaveConfirmed() {
		CompletableFuture<Void> confirmed = broadcast(0, "crash-1");
		assertThat(confirmed.isDone()).isFalse();
		this.network.advance(10_000_000);
		assertThat(confirmed.isDone()).isTrue();
		assertThat(this.vms.get(2).suspects.crashCount(this.fingerprint, 0)).isEqualTo(1);
	}

	@Test
	void reSendAfterTwoCrashesIsRefusedByEveryVm() {
		broadcast(0, "crash-1");
		broadcast(1, "crash-2");
		this.network.advance(10_000_000);
		for (RequestFixture vm : this.vms) {
			assertThat(failure(vm).type()).isEqualTo(ErrorType.CRASH_SUSPECT);
			assertThat(vm.engines.prefillsAndDecodes()).isEmpty();
		}
	}

	@Test
	void onlyOneVmRunsASuspectOnceMore() {
		broadcast(0, "crash-1");
		this.network.advance(10_000_000);
		this.vms.get(1).engines.decodeFaults.add(new FakeEngineClient.DecodeFault(0,
				() -> assertThat(failure(this.vms.get(2)).type()).isEqualTo(ErrorType.CRASH_SUSPECT)));
		assertThat(this.vms.get(1).run(true, new Cancellation())).hasSize(6);
		this.network.advance(20_000_000);
		assertThat(this.vms.get(2).run(true, new Cancellation())).hasSize(6);
	}

	@Test
	void sameRequestRunningElsewhereIsEnded() {
		Cancellation running = new Cancellation();
		OpenRequests.Entry entry = this.vms.get(1).openRequests.add(new OpenRequest("", "", this.fingerprint, running));
		broadcast(0, "crash-1");
		this.network.advance(10_000_000);
		assertThat(running.reason()).isEqualTo(CancelReason.CRASH_SUSPECT);
		entry.close();
	}

	@Test
	void unreachablePeerDelaysTheCallerForABoundedTimeOnly() {
		this.network.cut("vm-0", "vm-1", true);
		CompletableFuture<Void> confirmed = broadcast(0, "crash-1");
		this.network.advance(10_000_000);
		assertThat(confirmed.isDone()).isFalse();
		// Returns although vm-1 never confirms.
		this.vms.get(0).crashReporter.report(report("crash-2"), new Cancellation());
		assertThat(this.vms.get(0).suspects.crashCount(this.fingerprint, this.vms.get(0).time.nanos())).isEqualTo(2);
	}

	@Test
	void suspectsExpireAndAreBounded() {
		CrashSuspects suspects = new CrashSuspects(100);
		suspects.record("f", "c1", 0);
		assertThat(suspects.record("f", "c1", 50)).isEqualTo(1);
		assertThat(suspects.crashCount("f", 149)).isEqualTo(1);
		assertThat(suspects.crashCount("f", 150)).isEqualTo(0);
		for (int index = 0; index < 5_000; index++) {
			suspects.record("f" + index, "c", 200);
		}
		assertThat(suspects.crashCount("f0", 200)).isEqualTo(0);
		assertThat(suspects.crashCount("f4999", 200)).isEqualTo(1);
	}

	@Test
	void messagesAreRegisteredWithTheirNumbers() {
		PluginRegistry registry = PluginRegistry.load();
		assertThat(registry.create(PeerMessageType.class, "crash-report").number()).isEqualTo(40);
		assertThat(registry.create(PeerMessageType.class, "crash-report-ack").type()).isEqualTo(CrashReportAck.class);
	}

}
