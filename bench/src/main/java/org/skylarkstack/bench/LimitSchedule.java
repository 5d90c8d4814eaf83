package org.skylarkstack.bench;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.configuration.Team;

/**
 * Seeded schedule of requests and faults: message delays, network partitions in one or
 * both directions, pauses, crashes, restarts, graceful stops, store outages and faults,
 * clock drift, changes and deletions of teams.
 */
final class LimitSchedule {

	private static final long SECOND_NANOS = LimitSimulation.SECOND_NANOS;

	private static final long DURATION_NANOS = 90 * SECOND_NANOS;

	private static final long MAX_RECREATE_DELAY_NANOS = 3 * SECOND_NANOS;

	/** Longest time until all VMs have applied a change, including pauses. */
	private static final long MAX_CHANGE_DELAY_NANOS = 4 * SECOND_NANOS + 12 * SECOND_NANOS;

	private final LimitSimulation fleet;

	private final RandomGenerator random;

	private final int vmCount;

	private LimitSchedule(long seed) {
		RandomGenerator shape = new java.util.Random(seed ^ 0x5eed);
		this.vmCount = 3 + shape.nextInt(5);
		int slots = Math.max(1, this.vmCount - shape.nextInt(3));
		long delayNanos = (shape.nextInt(4) == 0) ? 2 * SECOND_NANOS : 5_000_000L;
		this.fleet = new LimitSimulation(seed, this.vmCount, slots, LimitSimulation.SHORT_LEASE_TERMS,
				shape.nextInt(3) * 0.15, delayNanos);
		this.random = this.fleet.random();
	}

	/**
	 * Runs a schedule.
	 * @param seed the seed
	 * @return the first violation and the numbers of admitted and refused requests
	 */
	static LimitScheduleResult run(long seed) {
		return new LimitSchedule(seed).run();
	}

	private LimitScheduleResult run() {
		for (int index = 0; index < this.vmCount; index++) {
			this.fleet.vm(index).start();
		}
		for (int index = 0; index < 4; index++) {
			addTeam("team-" + index);
		}
		repeatAtRandom(SECOND_NANOS / 2, 3 * SECOND_NANOS, this::injectFault);
		this.fleet.events().runUntil(DURATION_NANOS);
		Optional<String> violation = this.fleet.violation();
		return new LimitScheduleResult(violation, this.fleet.reservedRequests(), this.fleet.refusedRequests());
	}

	private void repeatAtRandom(long minNanos, long maxNanos, Runnable action) {
		this.fleet.events().after(minNanos + this.random.nextLong(maxNanos - minNanos), () -> {
			action.run();
			repeatAtRandom(minNanos, maxNanos, action);
		});
	}

	private void addTeam(String id) {
		long rate = 100 + this.random.nextLong(5_000);
		long burst = rate / 2 + this.random.nextLong(rate * 8);
		this.fleet.configure(id, new Team(id, rate, burst, 1, null), 0);
		long until = Long.MAX_VALUE;
		if (this.random.nextBoolean()) {
			until = 30 * SECOND_NANOS + this.random.nextLong(30 * SECOND_NANOS);
			long changeNanos = until;
			this.fleet.events().at(changeNanos, () -> changeTeam(id, rate, burst));
		}
		recordLimits(id, 0, (until == Long.MAX_VALUE) ? until : until + MAX_CHANGE_DELAY_NANOS, rate, burst);
		double loadFactor = 0.5 + 2 * this.random.nextDouble();
		long meanTokens = Math.max(1, burst / (2 + this.random.nextInt(20)));
		long gapNanos = Math.max(SECOND_NANOS / 200, (long) (meanTokens * 0.6 / (rate * loadFactor) * SECOND_NANOS));
		repeatAtRandom(gapNanos / 2, gapNanos * 2, () -> sendRequest(id, meanTokens));
	}

	private void recordLimits(String id, long from, long until, double rate, double burst) {
		this.fleet.ledger(id).addLimits(from, until, rate * (1 + LimitSimulation.MAX_CLOCK_DRIFT), burst);
	}

	private void changeTeam(String id, long rate, long burst) {
		boolean deleted = this.random.nextInt(3) == 0;
		long newRate = deleted ? rate : 50 + this.random.nextLong(2 * rate);
		long newBurst = deleted ? burst : Math.max(newRate / 2, this.random.nextLong(2 * burst));
		@Nullable Team changed = deleted ? null : new Team(id, newRate, newBurst, 1, null);
		this.fleet.configure(id, changed, 4 * SECOND_NANOS);
		recordLimits(id, this.fleet.events().nowNanos(), Long.MAX_VALUE, newRate, newBurst);
		if (deleted) {
			Team recreated = new Team(id, rate, burst, 1, null);
			this.fleet.events()
				.after(4 * SECOND_NANOS + this.random.nextLong(MAX_RECREATE_DELAY_NANOS),
						() -> this.fleet.configure(id, recreated, 4 * SECOND_NANOS));
		}
	}

	private void sendRequest(String id, long meanTokens) {
		long tokens = 1 + this.random.nextLong(2 * meanTokens);
		long used = (this.random.nextInt(3) == 0) ? tokens : this.random.nextLong(tokens + 1);
		long heldNanos = this.random.nextLong(6 * SECOND_NANOS);
		SimulatedVm vm = this.fleet.vm(this.random.nextInt(this.vmCount));
		this.fleet.request(vm, id, tokens, used, heldNanos, LimitSimulation.Observer.NONE);
	}

	private void injectFault() {
		SimulatedVm vm = this.fleet.vm(this.random.nextInt(this.vmCount));
		SimulatedVm other = this.fleet.vm(this.random.nextInt(this.vmCount));
		long durationNanos = this.random.nextLong(12 * SECOND_NANOS);
		switch (this.random.nextInt(8)) {
			case 0, 1 -> {
				this.fleet.setLinkDown(vm.vmId(), other.vmId(), true);
				this.fleet.events().after(durationNanos, () -> this.fleet.setLinkDown(vm.vmId(), other.vmId(), false));
			}
			case 2 -> {
				this.fleet.setLinkDownOneWay(vm.vmId(), other.vmId(), true);
				this.fleet.events()
					.after(durationNanos, () -> this.fleet.setLinkDownOneWay(vm.vmId(), other.vmId(), false));
			}
			case 3 -> isolate(vm, durationNanos);
			case 4 -> vm.pause(durationNanos);
			case 5 -> restart(vm, false,
					(this.random.nextInt(5) == 0) ? 2 * durationNanos + 20 * SECOND_NANOS : durationNanos / 4);
			case 6 -> restart(vm, true, durationNanos);
			default -> {
				this.fleet.store().setDown(true);
				this.fleet.events().after(durationNanos, () -> this.fleet.store().setDown(false));
			}
		}
	}

	private void isolate(SimulatedVm vm, long durationNanos) {
		List<String> others = this.fleet.vmIds().stream().filter((id) -> !id.equals(vm.vmId())).toList();
		others.forEach((id) -> this.fleet.setLinkDown(vm.vmId(), id, true));
		this.fleet.events()
			.after(durationNanos, () -> others.forEach((id) -> this.fleet.setLinkDown(vm.vmId(), id, false)));
	}

	private void restart(SimulatedVm vm, boolean graceful, long delayNanos) {
		if (!vm.isUp()) {
			return;
		}
		if (graceful) {
			vm.stop();
		}
		else {
			vm.crash();
		}
		this.fleet.events().after(delayNanos, vm::start);
	}

}
