package org.skylarkstack.bench;

import java.util.Locale;
import java.util.random.RandomGenerator;

import org.skylarkstack.configuration.Team;
import org.skylarkstack.limit.LendingTerms;

/**
 * Traffic whose wrong refusals are measured: requests refused although the team's ideal
 * fleet-wide bucket had room. Seven VMs in three data centres, 1 ms or less one way; the
 * team asks for 80 % of its rate net of refunds unless stated otherwise.
 */
enum RefusalScenario {

	/** All traffic comes through one VM. */
	ONE_VM {
		@Override
		int vm(long nowNanos, RandomGenerator random) {
			return 0;
		}
	},

	/** All traffic comes through one VM, another one every five seconds. */
	MOVING {
		@Override
		int vm(long nowNanos, RandomGenerator random) {
			return (int) (nowNanos / (5 * LimitSimulation.SECOND) % VMS);
		}
	},

	/** Each request comes through a random VM. */
	ALL_VMS,

	/** The team asks for 120 % of its rate through one VM. */
	ONE_VM_OVER_RATE {
		@Override
		int vm(long nowNanos, RandomGenerator random) {
			return 0;
		}

		@Override
		double load() {
			return OVERLOAD;
		}
	},

	/** The team asks for 120 % of its rate through all VMs. */
	ALL_VMS_OVER_RATE {
		@Override
		double load() {
			return OVERLOAD;
		}
	},

	/** A request for up to half of the burst comes about every 20 seconds. */
	QUIET {
		@Override
		long gapNanos() {
			return 20 * LimitSimulation.SECOND;
		}

		@Override
		long longestRequest() {
			return BURST / 2;
		}
	},

	/** The store is down for the whole measurement; requests come through all VMs. */
	STORE_DOWN {
		@Override
		void fail(LimitSimulation fleet) {
			fleet.store().down(true);
		}
	},

	/** A data centre of three VMs is cut off; requests come through all VMs. */
	DATA_CENTRE_CUT {
		@Override
		void fail(LimitSimulation fleet) {
			for (int inside = 0; inside < VMS; inside += DATA_CENTRES) {
				for (int outside = 0; outside < VMS; outside++) {
					if (outside % DATA_CENTRES != 0) {
						fleet.cut(fleet.vm(inside).vmId(), fleet.vm(outside).vmId(), true);
					}
				}
			}
		}
	};

	private static final int VMS = 7;

	private static final int DATA_CENTRES = 3;

	private static final long RATE = 10_000;

	private static final long BURST = 60_000;

	private static final double LOAD = 0.8;

	private static final double OVERLOAD = 1.2;

	private static final long LONGEST_REQUEST = 4_000;

	private static final double USED_SHARE = 0.65;

	private static final int RUNS = 5;

	private static final long WARM_UP = 30 * LimitSimulation.SECOND;

	private static final long END = 230 * LimitSimulation.SECOND;

	int vm(long nowNanos, RandomGenerator random) {
		return random.nextInt(VMS);
	}

	double load() {
		return LOAD;
	}

	long gapNanos() {
		return (long) (LONGEST_REQUEST / 2.0 * USED_SHARE / (RATE * load()) * LimitSimulation.SECOND);
	}

	long longestRequest() {
		return LONGEST_REQUEST;
	}

	void fail(LimitSimulation fleet) {
	}

	/**
	 * Measures a limiter.
	 * @param limiter the limiter
	 * @param firstSeed the seed of the first run
	 * @return a line with the figures of all runs
	 */
	String measure(LimiterKind limiter, long firstSeed) {
		long requests = 0;
		long refused = 0;
		long wrong = 0;
		for (long seed = firstSeed; seed < firstSeed + RUNS; seed++) {
			RefusalCount count = new RefusalCount(RATE, BURST, WARM_UP);
			run(limiter, seed, count);
			requests += count.requests();
			refused += count.refused();
			wrong += count.wrong();
		}
		return "scenario=%s limiter=%s seeds=%d..%d requests=%d refused=%d wrong=%d wrong_share=%.4f"
			.formatted(name(), limiter, firstSeed, firstSeed + RUNS - 1, requests, refused, wrong,
					(double) wrong / Math.max(1, requests))
			.toLowerCase(Locale.ROOT);
	}

	private void run(LimiterKind limiter, long seed, RefusalCount count) {
		LimitSimulation fleet = new LimitSimulation(seed, VMS, VMS, LendingTerms.forPeriod(LimitSimulation.SECOND), 0,
				1_000_000L);
		Team team = new Team("team-" + seed, RATE, BURST, 1, null);
		for (int index = 0; index < VMS; index++) {
			fleet.vm(index).start();
		}
		fleet.configure(team.id(), team, 0);
		Target target = limiter.target(fleet, team, VMS);
		fleet.events().at(WARM_UP, () -> fail(fleet));
		fleet.events().at(WARM_UP, () -> next(fleet, target, count));
		fleet.events().runUntil(END);
	}

	private void next(LimitSimulation fleet, Target target, RefusalCount count) {
		RandomGenerator random = fleet.random();
		long gap = (long) (-Math.log(1 - random.nextDouble()) * gapNanos());
		fleet.events().after(gap, () -> {
			long tokens = 1 + random.nextLong(longestRequest());
			long used = (long) (tokens * (USED_SHARE - 0.3 + 0.6 * random.nextDouble()));
			long held = random.nextLong(2 * LimitSimulation.SECOND);
			count.request(fleet.events().now());
			target.request(vm(fleet.events().now(), random), tokens, used, held, count);
			next(fleet, target, count);
		});
	}

	/**
	 * Limiter under measurement.
	 */
	enum LimiterKind {

		/** Lending. */
		LENDING {
			@Override
			Target target(LimitSimulation fleet, Team team, int vms) {
				return (vm, tokens, used, held, observer) -> fleet.request(fleet.vm(vm), team.id(), tokens, used, held,
						observer);
			}
		},

		/** A fixed share for each VM. */
		STATIC_SHARES {
			@Override
			Target target(LimitSimulation fleet, Team team, int vms) {
				return new StaticShares(fleet.events(), team, vms);
			}
		};

		abstract Target target(LimitSimulation fleet, Team team, int vms);

	}

	/**
	 * Takes requests.
	 */
	interface Target {

		void request(int vm, long tokens, long used, long heldNanos, LimitSimulation.Observer observer);

	}

}
