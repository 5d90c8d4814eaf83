package org.skylarkstack.bench;

import java.util.Locale;
import java.util.random.RandomGenerator;

import org.skylarkstack.configuration.Team;
import org.skylarkstack.limit.LendingTerms;

/**
 * Traffic pattern for which wrong refusals are measured: requests refused although an
 * ideal fleet-wide token bucket of the team held enough tokens. The fleet has seven VMs
 * in three data centres with a one-way delay of at most 1 ms. Unless stated otherwise,
 * the team requests 80 % of its rate, net of refunds.
 */
enum RefusalScenario {

	/** All requests arrive at one VM. */
	ONE_VM {
		@Override
		int chooseVm(long nowNanos, RandomGenerator random) {
			return 0;
		}
	},

	/** All requests arrive at one VM; every five seconds it is another one. */
	MOVING {
		@Override
		int chooseVm(long nowNanos, RandomGenerator random) {
			return (int) (nowNanos / (5 * LimitSimulation.SECOND_NANOS) % VM_COUNT);
		}
	},

	/** Each request arrives at a random VM. */
	ALL_VMS,

	/** The team requests 120 % of its rate at one VM. */
	ONE_VM_OVER_RATE {
		@Override
		int chooseVm(long nowNanos, RandomGenerator random) {
			return 0;
		}

		@Override
		double loadFactor() {
			return OVERLOAD_FACTOR;
		}
	},

	/** The team requests 120 % of its rate, spread over all VMs. */
	ALL_VMS_OVER_RATE {
		@Override
		double loadFactor() {
			return OVERLOAD_FACTOR;
		}
	},

	/** A request for up to half of the burst arrives every 20 seconds on average. */
	QUIET {
		@Override
		long meanGapNanos() {
			return 20 * LimitSimulation.SECOND_NANOS;
		}

		@Override
		long maxRequestTokens() {
			return BURST_TOKENS / 2;
		}
	},

	/**
	 * The store is unavailable during the entire measurement; requests arrive at all VMs.
	 */
	STORE_DOWN {
		@Override
		void injectFault(LimitSimulation fleet) {
			fleet.store().setDown(true);
		}
	},

	/**
	 * A data centre with three VMs is partitioned from the others; requests arrive at all
	 * VMs.
	 */
	DATA_CENTRE_CUT {
		@Override
		void injectFault(LimitSimulation fleet) {
			for (int inside = 0; inside < VM_COUNT; inside += DATA_CENTRE_COUNT) {
				for (int outside = 0; outside < VM_COUNT; outside++) {
					if (outside % DATA_CENTRE_COUNT != 0) {
						fleet.setLinkDown(fleet.vm(inside).vmId(), fleet.vm(outside).vmId(), true);
					}
				}
			}
		}
	};

	private static final int VM_COUNT = 7;

	private static final int DATA_CENTRE_COUNT = 3;

	private static final long TOKENS_PER_SECOND = 10_000;

	private static final long BURST_TOKENS = 60_000;

	private static final double LOAD_FACTOR = 0.8;

	private static final double OVERLOAD_FACTOR = 1.2;

	private static final long MAX_REQUEST_TOKENS = 4_000;

	private static final double MEAN_USED_SHARE = 0.65;

	private static final int RUNS = 5;

	private static final long WARM_UP_NANOS = 30 * LimitSimulation.SECOND_NANOS;

	private static final long END_NANOS = 230 * LimitSimulation.SECOND_NANOS;

	int chooseVm(long nowNanos, RandomGenerator random) {
		return random.nextInt(VM_COUNT);
	}

	double loadFactor() {
		return LOAD_FACTOR;
	}

	long meanGapNanos() {
		return (long) (MAX_REQUEST_TOKENS / 2.0 * MEAN_USED_SHARE / (TOKENS_PER_SECOND * loadFactor())
				* LimitSimulation.SECOND_NANOS);
	}

	long maxRequestTokens() {
		return MAX_REQUEST_TOKENS;
	}

	void injectFault(LimitSimulation fleet) {
	}

	/**
	 * Measures the wrong refusals of a limiter.
	 * @param limiter the limiter
	 * @param firstSeed the seed of the first run
	 * @return a line with the sums over all runs
	 */
	String measure(LimiterKind limiter, long firstSeed) {
		long requests = 0;
		long refused = 0;
		long wrong = 0;
		for (long seed = firstSeed; seed < firstSeed + RUNS; seed++) {
			RefusalCount count = new RefusalCount(TOKENS_PER_SECOND, BURST_TOKENS, WARM_UP_NANOS);
			run(limiter, seed, count);
			requests += count.requests();
			refused += count.refused();
			wrong += count.wrongRefusals();
		}
		return "scenario=%s limiter=%s seeds=%d..%d requests=%d refused=%d wrong=%d wrong_share=%.4f"
			.formatted(name(), limiter, firstSeed, firstSeed + RUNS - 1, requests, refused, wrong,
					(double) wrong / Math.max(1, requests))
			.toLowerCase(Locale.ROOT);
	}

	private void run(LimiterKind limiter, long seed, RefusalCount count) {
		LimitSimulation fleet = new LimitSimulation(seed, VM_COUNT, VM_COUNT,
				LendingTerms.forPeriod(LimitSimulation.SECOND_NANOS), 0, 1_000_000L);
		Team team = new Team("team-" + seed, TOKENS_PER_SECOND, BURST_TOKENS, 1, null);
		for (int index = 0; index < VM_COUNT; index++) {
			fleet.vm(index).start();
		}
		fleet.configure(team.id(), team, 0);
		RequestLimiter requestLimiter = limiter.create(fleet, team, VM_COUNT);
		fleet.events().at(WARM_UP_NANOS, () -> injectFault(fleet));
		fleet.events().at(WARM_UP_NANOS, () -> scheduleNext(fleet, requestLimiter, count));
		fleet.events().runUntil(END_NANOS);
	}

	private void scheduleNext(LimitSimulation fleet, RequestLimiter requestLimiter, RefusalCount count) {
		RandomGenerator random = fleet.random();
		long gapNanos = (long) (-Math.log(1 - random.nextDouble()) * meanGapNanos());
		fleet.events().after(gapNanos, () -> {
			long tokens = 1 + random.nextLong(maxRequestTokens());
			long used = (long) (tokens * (MEAN_USED_SHARE - 0.3 + 0.6 * random.nextDouble()));
			long heldNanos = random.nextLong(2 * LimitSimulation.SECOND_NANOS);
			count.recordRequest(fleet.events().nowNanos());
			requestLimiter.request(chooseVm(fleet.events().nowNanos(), random), tokens, used, heldNanos, count);
			scheduleNext(fleet, requestLimiter, count);
		});
	}

	/**
	 * Limiter under measurement.
	 */
	enum LimiterKind {

		/** Token lending between VMs. */
		LENDING {
			@Override
			RequestLimiter create(LimitSimulation fleet, Team team, int vms) {
				return (vm, tokens, used, heldNanos, observer) -> fleet.request(fleet.vm(vm), team.id(), tokens, used,
						heldNanos, observer);
			}
		},

		/** A fixed share of rate and burst for each VM. */
		STATIC_SHARES {
			@Override
			RequestLimiter create(LimitSimulation fleet, Team team, int vms) {
				return new StaticShares(fleet.events(), team, vms);
			}
		};

		abstract RequestLimiter create(LimitSimulation fleet, Team team, int vms);

	}

	/**
	 * Limiter that admits or refuses requests.
	 */
	interface RequestLimiter {

		void request(int vm, long tokens, long used, long heldNanos, LimitSimulation.Observer observer);

	}

}
