package org.skylarkstack.bench;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.configuration.Team;

/**
 * One seeded schedule of requests and faults: delays, cuts in one or both directions,
 * pauses, crashes, restarts, graceful stops, store outages and faults, clock drift,
 * changes and deletions of teams.
 */
final class LimitSchedule {

	private static final long SECOND = LimitSimulation.SECOND;

	private static final long DURATION = 90 * SECOND;

	private static final long SETTLING = 3 * SECOND;

	/** Longest time in which all VMs learn a change, pauses included. */
	private static final long CHANGE_NANOS = 4 * SECOND + 12 * SECOND;

	private final LimitSimulation fleet;

	private final RandomGenerator random;

	private final int vmCount;

	private LimitSchedule(long seed) {
		RandomGenerator shape = new java.util.Random(seed ^ 0x5eed);
		this.vmCount = 3 + shape.nextInt(5);
		int slots = Math.max(1, this.vmCount - shape.nextInt(3));
		long delay = (shape.nextInt(4) == 0) ? 2 * SECOND : 5_000_000L;
		this.fleet = new LimitSimulation(seed, this.vmCount, slots, LimitSimulation.SHORT_LEASE,
				shape.nextInt(3) * 0.15, delay);
		this.random = this.fleet.random();
	}

	/**
	 * Runs a schedule.
	 * @param seed the seed
	 * @return what happened
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
		every(SECOND / 2, 3 * SECOND, this::fault);
		this.fleet.events().runUntil(DURATION);
		Optional<String> violation = this.fleet.violation();
		return new LimitScheduleResult(violation, this.fleet.reservedRequests(), this.fleet.refusedRequests());
	}

	private void every(long shortest, long longest, Runnable action) {
		this.fleet.events().after(shortest + this.random.nextLong(longest - shortest), () -> {
			action.run();
			every(shortest, longest, action);
		});
	}

	private void addTeam(String id) {
		long rate = 100 + this.random.nextLong(5_000);
		long burst = rate / 2 + this.random.nextLong(rate * 8);
		this.fleet.configure(id, new Team(id, rate, burst, 1, null), 0);
		long until = Long.MAX_VALUE;
		if (this.random.nextBoolean()) {
			until = 30 * SECOND + this.random.nextLong(30 * SECOND);
			long changeNanos = until;
			this.fleet.events().at(changeNanos, () -> change(id, rate, burst));
		}
		limits(id, 0, (until == Long.MAX_VALUE) ? until : until + CHANGE_NANOS, rate, burst);
		double load = 0.5 + 2 * this.random.nextDouble();
		long tokens = Math.max(1, burst / (2 + this.random.nextInt(20)));
		long gap = Math.max(SECOND / 200, (long) (tokens * 0.6 / (rate * load) * SECOND));
		every(gap / 2, gap * 2, () -> request(id, tokens));
	}

	private void limits(String id, long from, long until, double rate, double burst) {
		this.fleet.ledger(id).limits(from, until, rate * (1 + LimitSimulation.CLOCK_DRIFT), burst);
	}

	private void change(String id, long rate, long burst) {
		boolean deleted = this.random.nextInt(3) == 0;
		long newRate = deleted ? rate : 50 + this.random.nextLong(2 * rate);
		long newBurst = deleted ? burst : Math.max(newRate / 2, this.random.nextLong(2 * burst));
		@Nullable Team changed = deleted ? null : new Team(id, newRate, newBurst, 1, null);
		this.fleet.configure(id, changed, 4 * SECOND);
		limits(id, this.fleet.events().now(), Long.MAX_VALUE, newRate, newBurst);
		if (deleted) {
			Team again = new Team(id, rate, burst, 1, null);
			this.fleet.events()
				.after(4 * SECOND + this.random.nextLong(SETTLING), () -> this.fleet.configure(id, again, 4 * SECOND));
		}
	}

	private void request(String id, long mean) {
		long tokens = 1 + this.random.nextLong(2 * mean);
		long used = (this.random.nextInt(3) == 0) ? tokens : this.random.nextLong(tokens + 1);
		long held = this.random.nextLong(6 * SECOND);
		SimulatedVm vm = this.fleet.vm(this.random.nextInt(this.vmCount));
		this.fleet.request(vm, id, tokens, used, held, LimitSimulation.Observer.NONE);
	}

	private void fault() {
		SimulatedVm vm = this.fleet.vm(this.random.nextInt(this.vmCount));
		SimulatedVm other = this.fleet.vm(this.random.nextInt(this.vmCount));
		long length = this.random.nextLong(12 * SECOND);
		switch (this.random.nextInt(8)) {
			case 0, 1 -> {
				this.fleet.cut(vm.vmId(), other.vmId(), true);
				this.fleet.events().after(length, () -> this.fleet.cut(vm.vmId(), other.vmId(), false));
			}
			case 2 -> {
				this.fleet.cutOneWay(vm.vmId(), other.vmId(), true);
				this.fleet.events().after(length, () -> this.fleet.cutOneWay(vm.vmId(), other.vmId(), false));
			}
			case 3 -> isolate(vm, length);
			case 4 -> vm.pause(length);
			case 5 -> restart(vm, false, (this.random.nextInt(5) == 0) ? 2 * length + 20 * SECOND : length / 4);
			case 6 -> restart(vm, true, length);
			default -> {
				this.fleet.store().down(true);
				this.fleet.events().after(length, () -> this.fleet.store().down(false));
			}
		}
	}

	private void isolate(SimulatedVm vm, long length) {
		List<String> others = this.fleet.vmIds().stream().filter((id) -> !id.equals(vm.vmId())).toList();
		others.forEach((id) -> this.fleet.cut(vm.vmId(), id, true));
		this.fleet.events().after(length, () -> others.forEach((id) -> this.fleet.cut(vm.vmId(), id, false)));
	}

	private void restart(SimulatedVm vm, boolean graceful, long delay) {
		if (!vm.isUp()) {
			return;
		}
		if (graceful) {
			vm.stop();
		}
		else {
			vm.crash();
		}
		this.fleet.events().after(delay, vm::start);
	}

}
