package org.skylarkstack.bench;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.configuration.Team;
import org.skylarkstack.limit.LendingTerms;
import org.skylarkstack.peer.PeerMessage;

/**
 * Fleet of VMs that enforce limits by token lending, in simulated time. The seed
 * determines all delays, faults and clock rates.
 */
final class LimitSimulation {

	static final long SECOND_NANOS = 1_000_000_000L;

	/**
	 * Default loan and grant terms; the slot lease is short, so that leases expire within
	 * a run.
	 */
	static final LendingTerms SHORT_LEASE_TERMS = new LendingTerms(20 * SECOND_NANOS, 4 * SECOND_NANOS, SECOND_NANOS,
			5 * SECOND_NANOS, 2 * SECOND_NANOS, 0.01, 8_000_000L, 2 * SECOND_NANOS);

	/**
	 * Largest relative deviation of a clock from real time. Two clocks differ by at most
	 * twice this share, which is within the drift allowance of the lending terms.
	 */
	static final double MAX_CLOCK_DRIFT = 0.0045;

	private final EventQueue events = new EventQueue();

	private final RandomGenerator random;

	private final SimulatedStore store;

	private final Map<String, SimulatedVm> vms = new LinkedHashMap<>();

	private final Set<String> downLinks = new HashSet<>();

	private final Map<String, Long> lastDeliveryNanos = new HashMap<>();

	private final Map<String, LedgerCheck> ledgers = new HashMap<>();

	private final int slotCount;

	private final LendingTerms terms;

	private final long maxDelayNanos;

	private long reservedRequests;

	private long refusedRequests;

	LimitSimulation(long seed, int vmCount, int slotCount, LendingTerms terms, double storeFaultProbability,
			long maxDelayNanos) {
		this.terms = terms;
		this.random = new Random(seed);
		this.slotCount = slotCount;
		this.maxDelayNanos = maxDelayNanos;
		this.store = new SimulatedStore(this.events, this.random, storeFaultProbability);
		for (int index = 0; index < vmCount; index++) {
			double rate = 1 + MAX_CLOCK_DRIFT * (2 * this.random.nextDouble() - 1);
			String vmId = "vm-" + index;
			this.vms.put(vmId, new SimulatedVm(vmId, this, rate, this.random.nextLong(SECOND_NANOS * 1_000_000)));
		}
	}

	EventQueue events() {
		return this.events;
	}

	RandomGenerator random() {
		return this.random;
	}

	SimulatedStore store() {
		return this.store;
	}

	LendingTerms terms() {
		return this.terms;
	}

	int slotCount() {
		return this.slotCount;
	}

	List<String> vmIds() {
		return List.copyOf(this.vms.keySet());
	}

	SimulatedVm vm(int index) {
		return new ArrayList<>(this.vms.values()).get(index);
	}

	LedgerCheck ledger(String teamId) {
		return this.ledgers.computeIfAbsent(teamId, (id) -> new LedgerCheck());
	}

	long reservedRequests() {
		return this.reservedRequests;
	}

	long refusedRequests() {
		return this.refusedRequests;
	}

	/**
	 * Applies the limits of a team on all VMs, on each after a random delay.
	 * @param id the team
	 * @param team the new limits, or {@code null} if the team is deleted
	 * @param maxConfigurationDelayNanos the longest delay in nanoseconds
	 */
	void configure(String id, @Nullable Team team, long maxConfigurationDelayNanos) {
		for (SimulatedVm vm : this.vms.values()) {
			long delayNanos = (maxConfigurationDelayNanos > 0) ? this.random.nextLong(maxConfigurationDelayNanos) : 0;
			this.events.after(delayNanos, () -> vm.setTeam(id, team));
		}
	}

	void setLinkDown(String first, String second, boolean down) {
		for (String link : List.of(first + ' ' + second, second + ' ' + first)) {
			if (down) {
				this.downLinks.add(link);
			}
			else {
				this.downLinks.remove(link);
			}
		}
	}

	void setLinkDownOneWay(String from, String to, boolean down) {
		if (down) {
			this.downLinks.add(from + ' ' + to);
		}
		else {
			this.downLinks.remove(from + ' ' + to);
		}
	}

	void send(String from, String to, PeerMessage message) {
		String link = from + ' ' + to;
		SimulatedVm receiver = this.vms.get(to);
		if (receiver == null || this.downLinks.contains(link)) {
			return;
		}
		long deliveryNanos = Math.max(this.lastDeliveryNanos.getOrDefault(link, 0L),
				this.events.nowNanos() + this.random.nextLong(this.maxDelayNanos) + 1);
		this.lastDeliveryNanos.put(link, deliveryNanos);
		this.events.at(deliveryNanos, () -> {
			if (!this.downLinks.contains(link)) {
				receiver.deliver(from, message);
			}
		});
	}

	/**
	 * Sends a caller's request to a VM. Its reservation and the refund at settlement are
	 * recorded in the ledger in real time.
	 * @param vm the VM
	 * @param teamId the team
	 * @param tokens the tokens to reserve
	 * @param used the tokens used
	 * @param heldNanos the time until settlement in nanoseconds
	 * @param observer is notified of charges, refunds and refusals
	 */
	void request(SimulatedVm vm, String teamId, long tokens, long used, long heldNanos, Observer observer) {
		vm.request(teamId, tokens, new RequestListener() {

			@Override
			public void reserved(long incarnation) {
				LimitSimulation.this.reservedRequests++;
				ledger(teamId).record(LimitSimulation.this.events.nowNanos(), tokens);
				observer.charged(LimitSimulation.this.events.nowNanos(), tokens);
				LimitSimulation.this.events.after(heldNanos, () -> {
					if (used < tokens && vm.settle(incarnation, teamId, tokens - used)) {
						ledger(teamId).record(LimitSimulation.this.events.nowNanos(), used - tokens);
						observer.charged(LimitSimulation.this.events.nowNanos(), used - tokens);
					}
				});
			}

			@Override
			public void refused() {
				LimitSimulation.this.refusedRequests++;
				observer.refused(LimitSimulation.this.events.nowNanos(), tokens);
			}
		});
	}

	Optional<String> violation() {
		return this.ledgers.entrySet()
			.stream()
			.flatMap((entry) -> entry.getValue().violation().map((text) -> entry.getKey() + " " + text).stream())
			.findFirst();
	}

	/**
	 * Receives the decision on a request.
	 */
	interface RequestListener {

		void reserved(long incarnation);

		void refused();

	}

	/**
	 * Observes charges, refunds and refusals of requests.
	 */
	interface Observer {

		/** Ignores all events. */
		Observer NONE = new Observer() {

			@Override
			public void charged(long realNanos, double tokens) {
			}

			@Override
			public void refused(long realNanos, long tokens) {
			}
		};

		void charged(long realNanos, double tokens);

		void refused(long realNanos, long tokens);

	}

}
