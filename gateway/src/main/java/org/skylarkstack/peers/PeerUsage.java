package org.skylarkstack.peers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Last report of each peer. Confined to one thread.
 */
public final class PeerUsage {

	// Five report periods; a peer that is silent for longer is treated as out of reach.
	private static final long FRESH_NANOS = 1_200_000_000L;

	private final Map<String, Received> reports = new HashMap<>();

	private final Map<String, Long> unitsFromPeers = new HashMap<>();

	private int daemons = 1;

	/**
	 * Takes note of the daemons that are registered.
	 * @param peers the other daemons
	 */
	public void registered(Set<String> peers) {
		this.daemons = peers.size() + 1;
		this.reports.keySet().retainAll(peers);
	}

	/**
	 * Takes a report. Late and repeated ones are ignored.
	 * @param report the report
	 * @param nowNanos the present time
	 */
	public void received(UsageReport report, long nowNanos) {
		Received former = this.reports.get(report.vmId());
		Map<String, Long> before = report.unitsByTeam();
		if (former != null && former.report.incarnation() == report.incarnation()) {
			if (former.report.number() >= report.number()) {
				return;
			}
			before = former.report.unitsByTeam();
		}
		// What a peer took before it was first heard cannot be told from what it took
		// long
		// ago; limits start empty after a start for that reason.
		for (Map.Entry<String, Long> entry : report.unitsByTeam().entrySet()) {
			long taken = entry.getValue() - before.getOrDefault(entry.getKey(), 0L);
			this.unitsFromPeers.merge(entry.getKey(), taken, Long::sum);
		}
		this.reports.put(report.vmId(), new Received(report, nowNanos));
	}

	/**
	 * Returns the units that peers reported for a team since this process started.
	 * @param team the team
	 * @return the units
	 */
	public long unitsFromPeers(String team) {
		return this.unitsFromPeers.getOrDefault(team, 0L);
	}

	/**
	 * Returns what the requests of peers occupy at an engine.
	 * @param engine the engine
	 * @param nowNanos the present time
	 * @return the memory of each request, by the reports that are fresh
	 */
	public List<EngineRun> runsOfPeers(String engine, long nowNanos) {
		List<EngineRun> runs = new ArrayList<>();
		for (Received received : this.reports.values()) {
			if (nowNanos - received.nanos < FRESH_NANOS) {
				runs.addAll(received.report.runsByEngine().getOrDefault(engine, List.of()));
			}
		}
		return runs;
	}

	/**
	 * Returns the number of registered daemons, this one included.
	 * @return the number
	 */
	public int daemons() {
		return this.daemons;
	}

	/**
	 * Returns the number of daemons that are heard, this one included.
	 * @param nowNanos the present time
	 * @return the number
	 */
	public int heard(long nowNanos) {
		int heard = 1;
		for (Received received : this.reports.values()) {
			heard += (nowNanos - received.nanos < FRESH_NANOS) ? 1 : 0;
		}
		return Math.min(heard, this.daemons);
	}

	private record Received(UsageReport report, long nanos) {

	}

}
