package org.skylarkstack.peers;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

/**
 * Decides which usage reports a daemon sends to which peers. In each round, its own
 * report goes to its group ({@link PeerGroups}); in every second round, it relays the
 * reports of its group to daemons of other groups.
 *
 * <p>
 * The rounds replace each other, so a lost report does no harm. Confined to one thread.
 */
final class ReportRouter {

	/** Time between two rounds in milliseconds. */
	static final long ROUND_PERIOD_MILLIS = 200;

	// Reports are relayed in every second round.
	private static final int ROUNDS_PER_RELAY = 2;

	// Maximum age of a relayed report. A process takes longer than this to restart, so
	// that reports of its previous incarnation are no longer relayed by then.
	private static final long MAX_RELAY_AGE_NANOS = 2 * ROUND_PERIOD_MILLIS * 1_000_000;

	private final Peer self;

	private final PeerUsage usage;

	private PeerGroups groups;

	private long round;

	ReportRouter(Peer self, PeerUsage usage) {
		this.self = self;
		this.usage = usage;
		this.groups = new PeerGroups(self, List.of());
	}

	void setPeers(Collection<Peer> others) {
		this.groups = new PeerGroups(this.self, others);
	}

	/**
	 * Returns what is sent in the next round.
	 * @param own the current report of this daemon
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @param nowEpochMillis the current wall-clock time in milliseconds since the epoch
	 * @return the transfers
	 */
	List<ReportTransfer> nextRound(UsageReport own, long nowNanos, long nowEpochMillis) {
		List<ReportTransfer> transfers = new ArrayList<>();
		transfers.add(toGroup(own));
		this.round++;
		if (this.round % ROUNDS_PER_RELAY == 0) {
			// A difference between clocks only changes, temporarily, which daemon relays
			// to which.
			long sharedRound = nowEpochMillis / (ROUNDS_PER_RELAY * ROUND_PERIOD_MILLIS);
			List<Peer> targets = this.groups.relayTargets(sharedRound);
			if (!targets.isEmpty()) {
				transfers.add(new ReportTransfer(relayedReports(own, nowNanos), targets, true));
			}
		}
		return transfers;
	}

	private List<UsageReport> relayedReports(UsageReport own, long nowNanos) {
		List<UsageReport> reports = new ArrayList<>();
		reports.add(own);
		for (Peer member : this.groups.otherMembers()) {
			UsageReport report = this.usage.latestReportSince(member.vmId(), nowNanos - MAX_RELAY_AGE_NANOS);
			if (report != null) {
				reports.add(report);
			}
		}
		return reports;
	}

	ReportTransfer toGroup(UsageReport own) {
		return ReportTransfer.own(own, this.groups.otherMembers());
	}

}
