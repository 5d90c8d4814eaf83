package org.skylarkstack.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.peers.PeerUsage;

/**
 * Enforces the limit of each team on its usage across all daemons.
 *
 * <p>
 * Each daemon keeps a token bucket for the whole fleet. It deducts its own requests
 * immediately, and those of its peers when they report them. While no reports come from
 * some peers, the refill rate and the capacity shrink to the share of the daemons that
 * are reachable, so that the parts of a partitioned fleet together stay within the limit.
 * The tolerance of the limit covers usage that peers have not reported yet.
 *
 * <p>
 * A bucket represents the time since the start of the process, also if the first request
 * of its team arrives here much later. In a large fleet a daemon sees few requests of
 * each team; with a bucket that starts full at the first of them, the daemons together
 * would grant a multiple of the limit.
 *
 * <p>
 * A fixed equal share for each daemon would refuse a team whose requests move from VM to
 * VM, although the team is within its limit.
 */
public final class TeamLimits {

	// Share of the tolerance that is granted. The rest covers reports in transit.
	private static final double TOLERANCE_SHARE = 0.7;

	private static final double SLACK_SHARE = 0.5;

	// In a fleet of several groups, reports are relayed and need up to 0.7 s, in which a
	// team that exceeds its limit at all daemons takes a further tenth of it.
	private static final double LARGE_FLEET_TOLERANCE_SHARE = 0.5;

	private static final double LARGE_FLEET_SLACK_SHARE = 0.25;

	// Share of the slack that only small requests may use, so that a request to a
	// plain service is not refused because a long prompt has just emptied the bucket.
	private static final double SMALL_REQUEST_SHARE = 0.1;

	// A request is small if it needs less than the reserve for small requests divided
	// by this number.
	private static final double SMALL_REQUEST_DIVISOR = 10;

	private static final double NANOS_PER_SECOND = 1e9;

	private final double tolerance;

	private final double slack;

	private final boolean startFull;

	private final PeerUsage peers;

	private final Function<String, @Nullable TeamPolicy> teams;

	private final long startNanos;

	private final Map<String, Bucket> buckets = new HashMap<>();

	/**
	 * Creates limits without any usage.
	 * @param settings the tolerance and slack, and whether buckets start full
	 * @param peers the usage that other daemons report
	 * @param teams finds a team by its name; {@code null} if it is not configured
	 * @param startNanos when the process started, on the monotonic clock in nanoseconds
	 */
	public TeamLimits(GatewaySettings settings, PeerUsage peers, Function<String, @Nullable TeamPolicy> teams,
			long startNanos) {
		this.tolerance = settings.limitTolerance();
		this.slack = settings.limitSlack();
		this.startFull = settings.firstStart();
		this.peers = peers;
		this.teams = teams;
		this.startNanos = startNanos;
		peers.onUnitsReported(this::recordPeerUnits);
	}

	/**
	 * Takes the units of a request from the team's bucket, if it holds enough.
	 * @param team the team that the request runs for
	 * @param units the units that the request needs, as given by
	 * {@link TeamPolicy#cost(long)}
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return 0 if the units were taken or the team has no limit, otherwise the time in
	 * nanoseconds after which the bucket is expected to hold enough
	 */
	public long tryTake(TeamPolicy team, double units, long nowNanos) {
		if (team.ratePerSecond() <= 0) {
			return 0;
		}
		double reachableShare = reachableShare(nowNanos);
		double rate = rate(team, reachableShare);
		double capacity = capacity(team, reachableShare);
		Bucket bucket = advancedBucket(team, rate, capacity, nowNanos);
		double reserve = SMALL_REQUEST_SHARE * this.slack * reachableShare;
		if (bucket.level + ((units < reserve / SMALL_REQUEST_DIVISOR) ? reserve : 0) >= units) {
			bucket.level -= units;
			bucket.taken += (long) units;
			return 0;
		}
		return Math.max(1, (long) ((units - bucket.level) / rate * NANOS_PER_SECOND));
	}

	private void recordPeerUnits(String teamName, long nowNanos) {
		TeamPolicy team = this.teams.apply(teamName);
		if (team != null && team.ratePerSecond() > 0) {
			double reachableShare = reachableShare(nowNanos);
			advancedBucket(team, rate(team, reachableShare), capacity(team, reachableShare), nowNanos);
		}
	}

	private double reachableShare(long nowNanos) {
		return (double) this.peers.liveDaemons(nowNanos) / Math.max(1, this.peers.registeredDaemons());
	}

	private double rate(TeamPolicy team, double reachableShare) {
		return team.ratePerSecond() * (1 + grantedTolerance()) * reachableShare;
	}

	private double capacity(TeamPolicy team, double reachableShare) {
		double slackShare = isLargeFleet() ? LARGE_FLEET_SLACK_SHARE : SLACK_SHARE;
		return (team.burst() * (1 + grantedTolerance()) + slackShare * this.slack) * reachableShare;
	}

	private double grantedTolerance() {
		return (isLargeFleet() ? LARGE_FLEET_TOLERANCE_SHARE : TOLERANCE_SHARE) * this.tolerance;
	}

	private boolean isLargeFleet() {
		return this.peers.isRelayed();
	}

	private Bucket advancedBucket(TeamPolicy team, double rate, double capacity, long nowNanos) {
		Bucket bucket = this.buckets.computeIfAbsent(team.name(),
				(name) -> new Bucket(this.startFull ? capacity : 0, this.startNanos));
		bucket.advance(rate, capacity, this.peers.unitsFromPeers(team.name()), nowNanos);
		return bucket;
	}

	/**
	 * Refunds the units of a request that did not run.
	 * @param team the team that the request was to run for
	 * @param units the units that were taken
	 */
	public void refund(TeamPolicy team, double units) {
		Bucket bucket = this.buckets.get(team.name());
		if (bucket != null) {
			bucket.level += units;
			bucket.taken -= (long) units;
		}
	}

	/**
	 * Returns the units that each team has taken at this daemon since the process
	 * started.
	 * @return the units by team name
	 */
	public Map<String, Long> unitsTaken() {
		Map<String, Long> taken = new HashMap<>();
		this.buckets.forEach((team, bucket) -> taken.put(team, bucket.taken));
		return taken;
	}

	/**
	 * Token bucket with the units that a team may still use on all daemons together.
	 */
	private static final class Bucket {

		private double level;

		private long taken;

		private long peerUnits;

		private long updatedNanos;

		Bucket(double level, long startNanos) {
			this.level = level;
			this.updatedNanos = startNanos;
		}

		void advance(double perSecond, double capacity, long reportedUnits, long nowNanos) {
			double gained = Math.max(0, nowNanos - this.updatedNanos) / NANOS_PER_SECOND * perSecond;
			double remaining = this.level + gained - (reportedUnits - this.peerUnits);
			this.level = Math.max(-capacity, Math.min(capacity, remaining));
			this.peerUnits = reportedUnits;
			this.updatedNanos = nowNanos;
		}

	}

}
