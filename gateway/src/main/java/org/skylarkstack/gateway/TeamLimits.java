package org.skylarkstack.gateway;

import java.util.HashMap;
import java.util.Map;

import org.skylarkstack.peers.PeerUsage;

/**
 * Bounds what each team uses on all daemons together.
 *
 * <p>
 * Each daemon keeps the bucket of the whole fleet: its own requests count at once, those
 * of its peers when they report them. While some peers are not heard, the refill and the
 * capacity shrink to the share of the daemons that are heard, so that the parts of a
 * divided fleet stay within the limit together. The tolerance of the limit covers what
 * peers have not reported yet.
 *
 * <p>
 * Answers the load pattern of a team whose requests move from VM to VM: equal shares
 * would refuse it although it is within its limit.
 */
public final class TeamLimits {

	// Part of the tolerance that is used; the rest covers reports that are under way.
	private static final double TOLERANCE_SHARE = 0.7;

	private static final double SLACK_SHARE = 0.5;

	// Part of the slack that only small requests may use: a plain request must not be
	// refused because a long prompt has just emptied the bucket.
	private static final double SMALL_SHARE = 0.1;

	// A request is small if it needs less than one part in so many of that.
	private static final double SMALL_PARTS = 10;

	private static final double NANOS_PER_SECOND = 1e9;

	private final double tolerance;

	private final double slack;

	private final boolean startFull;

	private final PeerUsage peers;

	private final Map<String, Bucket> buckets = new HashMap<>();

	/**
	 * Creates limits.
	 * @param settings the tolerance
	 * @param peers what peers use
	 */
	public TeamLimits(GatewaySettings settings, PeerUsage peers) {
		this.tolerance = settings.limitTolerance();
		this.slack = settings.limitSlack();
		this.startFull = settings.firstStart();
		this.peers = peers;
	}

	/**
	 * Takes what a request needs, if the team's limit permits it.
	 * @param team the team
	 * @param units the units
	 * @param nowNanos the present time
	 * @return 0 if taken, otherwise the time in nanoseconds after which it may be
	 */
	public long tryTake(TeamPolicy team, double units, long nowNanos) {
		if (team.ratePerSecond() <= 0) {
			return 0;
		}
		double share = (double) this.peers.heard(nowNanos) / Math.max(1, this.peers.daemons());
		double rate = team.ratePerSecond() * (1 + TOLERANCE_SHARE * this.tolerance) * share;
		double capacity = (team.burst() * (1 + TOLERANCE_SHARE * this.tolerance) + SLACK_SHARE * this.slack) * share;
		Bucket bucket = this.buckets.computeIfAbsent(team.name(),
				(name) -> new Bucket(this.startFull ? capacity : 0, this.peers.unitsFromPeers(name), nowNanos));
		bucket.advance(rate, capacity, this.peers.unitsFromPeers(team.name()), nowNanos);
		double reserve = SMALL_SHARE * this.slack * share;
		if (bucket.level + ((units < reserve / SMALL_PARTS) ? reserve : 0) >= units) {
			bucket.level -= units;
			bucket.taken += (long) units;
			return 0;
		}
		return Math.max(1, (long) ((units - bucket.level) / rate * NANOS_PER_SECOND));
	}

	/**
	 * Gives back what a request took that did not run.
	 * @param team the team
	 * @param units the units
	 */
	public void giveBack(TeamPolicy team, double units) {
		Bucket bucket = this.buckets.get(team.name());
		if (bucket != null) {
			bucket.level += units;
			bucket.taken -= (long) units;
		}
	}

	/**
	 * Returns what each team took here since this process started.
	 * @return the units by team
	 */
	public Map<String, Long> taken() {
		Map<String, Long> taken = new HashMap<>();
		this.buckets.forEach((team, bucket) -> taken.put(team, bucket.taken));
		return taken;
	}

	/**
	 * Units that a team may still use on all daemons together.
	 */
	private static final class Bucket {

		private double level;

		private long taken;

		private long peerUnits;

		private long updatedNanos;

		Bucket(double level, long peerUnits, long nowNanos) {
			this.level = level;
			this.peerUnits = peerUnits;
			this.updatedNanos = nowNanos;
		}

		void advance(double perSecond, double capacity, long reportedUnits, long nowNanos) {
			double gained = Math.max(0, nowNanos - this.updatedNanos) / NANOS_PER_SECOND * perSecond;
			double left = this.level + gained - (reportedUnits - this.peerUnits);
			this.level = Math.max(-capacity, Math.min(capacity, left));
			this.peerUnits = reportedUnits;
			this.updatedNanos = nowNanos;
		}

	}

}
