package org.skylarkstack.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.skylarkstack.configuration.Team;

/**
 * Checks a team's requests, as observed by callers, against its limit. All times are in
 * nanoseconds on one monotonic clock.
 */
final class TokenLedger {

	private static final double NANOS_PER_SECOND = 1e9;

	private final Team team;

	private final List<Outcome> outcomes;

	TokenLedger(Team team, List<Outcome> outcomes) {
		this.team = team;
		this.outcomes = outcomes.stream()
			.filter(Outcome::isCompletion)
			.sorted(Comparator.comparingLong(Outcome::sentNanos))
			.toList();
	}

	/**
	 * Returns the largest excess over rate x t + burst in any time window. A window
	 * includes each request that was both sent and ended within it, because the request
	 * was charged in between. The request counts with the tokens that it used, which are
	 * at most those charged.
	 * @return the tokens above the limit, or 0
	 */
	long excess() {
		List<Outcome> charged = this.outcomes.stream().filter((outcome) -> outcome.usedTokens() > 0).toList();
		List<Outcome> byEnd = new ArrayList<>(charged);
		byEnd.sort(Comparator.comparingLong(Outcome::endNanos));
		double excess = 0;
		for (Outcome first : charged) {
			long usedTokens = 0;
			for (Outcome outcome : byEnd) {
				if (outcome.sentNanos() >= first.sentNanos()) {
					usedTokens += outcome.usedTokens();
					double seconds = (outcome.endNanos() - first.sentNanos()) / NANOS_PER_SECOND;
					excess = Math.max(excess,
							usedTokens - this.team.tokensPerSecond() * seconds - this.team.burstTokens());
				}
			}
		}
		return (long) excess;
	}

	/**
	 * Counts requests that were rejected as rate-limited although a single token bucket
	 * for the entire fleet, full at the start, would have held enough tokens.
	 * @return the number of wrong refusals
	 */
	long wrongRefusals() {
		List<BucketChange> changes = new ArrayList<>();
		for (Outcome outcome : this.outcomes) {
			if ("RATE_LIMITED".equals(outcome.error())) {
				changes.add(new BucketChange(outcome.sentNanos(), outcome.reservedTokens(), true));
			}
			else if (outcome.usedTokens() > 0) {
				changes.add(new BucketChange(outcome.sentNanos(), outcome.reservedTokens(), false));
				changes.add(new BucketChange(outcome.endNanos(), -(outcome.reservedTokens() - outcome.usedTokens()),
						false));
			}
		}
		changes.sort(Comparator.comparingLong(BucketChange::atNanos));
		return countWrongRefusals(changes);
	}

	private long countWrongRefusals(List<BucketChange> changes) {
		double burst = (double) this.team.burstTokens();
		double level = burst;
		long previousNanos = changes.isEmpty() ? 0 : changes.get(0).atNanos();
		long wrongRefusals = 0;
		for (BucketChange change : changes) {
			double refill = (change.atNanos() - previousNanos) / NANOS_PER_SECOND * this.team.tokensPerSecond();
			level = Math.min(burst, level + refill);
			previousNanos = change.atNanos();
			if (!change.refused()) {
				level -= change.tokens();
			}
			else if (change.tokens() <= level) {
				wrongRefusals++;
			}
		}
		return wrongRefusals;
	}

	private record BucketChange(long atNanos, long tokens, boolean refused) {

	}

}
