package org.skylarkstack.bench.slope;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.skylarkstack.configuration.Team;
import org.skylarkstack.limit.LendingTerms;
import org.skylarkstack.limit.RateSlotLease;
import org.skylarkstack.limit.ReserveOutcome;
import org.skylarkstack.limit.TokenLending;

/**
 * Measures the heap used by the limits of one owner as a function of the number of
 * concurrently active teams.
 */
final class LimitSlopes {

	private static final int[] TEAMS = { 5_000, 10_000, 20_000, 40_000 };

	private static final long SECOND_NANOS = 1_000_000_000L;

	private static final long HEARTBEAT_NANOS = SECOND_NANOS;

	private static final long RESERVED_TOKENS = 10;

	private LimitSlopes() {
	}

	static List<Slope> measure(int repeats) {
		List<SlopePoint> bytes = new ArrayList<>();
		for (int repeat = 0; repeat < repeats; repeat++) {
			for (int count : TEAMS) {
				bytes.add(new SlopePoint(count, repeat, heapBytes(teams(count))));
			}
		}
		return List.of(Slope.fit("heap of the limits", "active teams", "bytes", bytes));
	}

	private static Map<String, Team> teams(int count) {
		Map<String, Team> teams = new HashMap<>();
		for (int team = 0; team < count; team++) {
			teams.put("team-" + team, new Team("team-" + team, 1_000, 60_000, 1, null));
		}
		return teams;
	}

	private static long heapBytes(Map<String, Team> teams) {
		long before = HeapMeter.usedBytes();
		TokenLending lending = new TokenLending("vm", 1, 1, LendingTerms.forPeriod(HEARTBEAT_NANOS), 1, teams::get,
				new NoPeerReachability(), (vmId, message) -> {
				});
		lending.setSlot(new RateSlotLease(0, 0, 3_600 * SECOND_NANOS), 0);
		lending.tick(0);
		long now = 10 * SECOND_NANOS;
		long reserved = teams.values()
			.stream()
			.filter((team) -> lending.tryReserve(team, RESERVED_TOKENS, false, now)
				.kind() == ReserveOutcome.Kind.RESERVED)
			.count();
		if (reserved != teams.size()) {
			throw new IllegalStateException(
					"tokens were reserved for only %d of %d teams".formatted(reserved, teams.size()));
		}
		long used = HeapMeter.usedBytes() - before;
		if (lending.teamStateCount() < teams.size()) {
			throw new IllegalStateException("the limits hold no state for some active teams");
		}
		return used;
	}

	/**
	 * Peer reachability of a VM that has no peers.
	 */
	private static final class NoPeerReachability implements TokenLending.PeerReachability {

		@Override
		public boolean isReachable(String peer, long nowNanos) {
			return false;
		}

		@Override
		public long incarnation(String peer) {
			return 0;
		}

		@Override
		public long sentNanos(String peer) {
			return 0;
		}

	}

}
