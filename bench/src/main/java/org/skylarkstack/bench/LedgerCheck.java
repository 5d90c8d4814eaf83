package org.skylarkstack.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Ledger of one team over all VMs in real time, verified after a run.
 *
 * <p>
 * In each time window the reservations less refunds must be at most rate x t + burst. The
 * largest excess of all windows that end at an event follows from the largest excess at
 * the previous event, so that one pass verifies every window.
 */
final class LedgerCheck {

	private static final double NANOS_PER_SECOND = 1e9;

	private static final double ROUNDING_TOKENS = 0.01;

	private final List<Entry> entries = new ArrayList<>();

	private final List<Limits> limits = new ArrayList<>();

	void record(long realNanos, double tokens) {
		this.entries.add(new Entry(realNanos, tokens));
	}

	/**
	 * Adds limits that were in force on at least one VM.
	 * @param fromNanos the time at which the first VM applied them
	 * @param untilNanos the time by which the last VM had replaced them, including the
	 * last grants under them
	 * @param tokensPerSecond the rate in tokens per second of real time
	 * @param burstTokens the burst in tokens
	 */
	void addLimits(long fromNanos, long untilNanos, double tokensPerSecond, double burstTokens) {
		this.limits.add(new Limits(fromNanos, untilNanos, tokensPerSecond, burstTokens));
	}

	/**
	 * Checks every window against the limits that were in force on any VM in it: the
	 * entire run against the highest limits, and each period with a single set of limits
	 * against that set.
	 * @return the first violation, if any
	 */
	Optional<String> violation() {
		double rate = this.limits.stream().mapToDouble(Limits::tokensPerSecond).max().orElse(0);
		double burst = this.limits.stream().mapToDouble(Limits::burstTokens).max().orElse(0);
		Optional<String> violationOverRun = violation(new Limits(Long.MIN_VALUE, Long.MAX_VALUE, rate, burst));
		if (violationOverRun.isPresent()) {
			return violationOverRun;
		}
		for (int index = 0; index < this.limits.size(); index++) {
			Limits current = this.limits.get(index);
			long from = (index > 0) ? this.limits.get(index - 1).untilNanos() : Long.MIN_VALUE;
			long until = (index + 1 < this.limits.size()) ? this.limits.get(index + 1).fromNanos() : Long.MAX_VALUE;
			Optional<String> found = violation(
					new Limits(from, until, current.tokensPerSecond(), current.burstTokens()));
			if (found.isPresent()) {
				return found;
			}
		}
		return Optional.empty();
	}

	private Optional<String> violation(Limits bound) {
		double excessTokens = 0;
		long lastNanos = 0;
		for (Entry entry : this.entries) {
			if (entry.realNanos() < bound.fromNanos() || entry.realNanos() >= bound.untilNanos()) {
				continue;
			}
			double drainedTokens = (entry.realNanos() - lastNanos) / NANOS_PER_SECOND * bound.tokensPerSecond();
			excessTokens = Math.max(0, excessTokens - drainedTokens) + entry.tokens();
			lastNanos = entry.realNanos();
			if (excessTokens > bound.burstTokens() + ROUNDING_TOKENS) {
				return Optional.of("at %.3f s a window exceeds rate x t + burst by %.2f of %.0f tokens"
					.formatted(lastNanos / NANOS_PER_SECOND, excessTokens - bound.burstTokens(), bound.burstTokens()));
			}
		}
		return Optional.empty();
	}

	private record Entry(long realNanos, double tokens) {

	}

	private record Limits(long fromNanos, long untilNanos, double tokensPerSecond, double burstTokens) {

	}

}
