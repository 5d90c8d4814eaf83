package org.skylarkstack.limit;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.skylarkstack.configuration.Team;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;

/**
 * Limiter that gives each VM a fixed share of each team's rate and burst. It keeps the
 * fleet-wide bound without messages between VMs and is the baseline that lending is
 * compared with.
 */
public final class StaticShareLimiter implements TeamLimiter {

	private final double share;

	private final Map<String, TokenBucket> buckets = new HashMap<>();

	/**
	 * Creates a limiter.
	 * @param share the share of this VM in each team's rate and burst, above 0 and at
	 * most 1
	 */
	public StaticShareLimiter(double share) {
		this.share = share;
	}

	@Override
	public synchronized TokenReservation reserve(Team team, long tokens, long nowNanos) {
		TokenBucket bucket = this.buckets.computeIfAbsent(team.id(),
				(id) -> new TokenBucket(team.tokensPerSecond() * this.share, team.burstTokens() * this.share,
						team.burstTokens() * this.share, nowNanos));
		if (!bucket.tryTake(tokens, nowNanos)) {
			throw RouterException.retryAfter(ErrorType.RATE_LIMITED,
					Duration.ofNanos(bucket.nanosUntil(tokens, nowNanos)), team.id());
		}
		return new TokenReservation(team.id(), tokens);
	}

	@Override
	public synchronized void settle(TokenReservation reservation, long usedTokens, long nowNanos) {
		TokenBucket bucket = this.buckets.get(reservation.teamId());
		if (reservation.markSettled() && bucket != null) {
			bucket.putBack(Math.max(0, reservation.tokens() - usedTokens), nowNanos);
		}
	}

}
