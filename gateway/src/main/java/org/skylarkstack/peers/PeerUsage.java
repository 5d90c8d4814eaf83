package org.skylarkstack.peers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * Last report of each peer. Confined to one thread.
 */
public final class PeerUsage {

	// Six report periods; a peer that is silent for longer is treated as out of reach.
	private static final long FRESH_NANOS = 1_200_000_000L;

	// An engine drains and then needs some seconds to change its role.
	private static final long CHANGE_NANOS = 16_000_000_000L;

	private final Map<String, Received> reports = new HashMap<>();

	// The reports that name an engine, by engine and by sender.
	private final Map<String, Map<String, Received>> reportsByEngine = new HashMap<>();

	private final Map<String, Long> unitsFromPeers = new HashMap<>();

	private final Map<String, Long> changing = new HashMap<>();

	// When a peer last said that it has ordered an engine to change its role.
	private final Map<String, Long> changingAtPeers = new HashMap<>();

	private int daemons = 1;

	/**
	 * Takes note of the daemons that are registered.
	 * @param peers the other daemons
	 */
	public void registered(Set<String> peers) {
		this.daemons = peers.size() + 1;
		this.reports.keySet().retainAll(peers);
		this.reportsByEngine.values().removeIf((senders) -> {
			senders.keySet().retainAll(peers);
			return senders.isEmpty();
		});
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
		// long ago; limits start empty after a start for that reason.
		for (Map.Entry<String, Long> entry : report.unitsByTeam().entrySet()) {
			long taken = entry.getValue() - before.getOrDefault(entry.getKey(), 0L);
			this.unitsFromPeers.merge(entry.getKey(), taken, Long::sum);
		}
		if (former != null) {
			forgetRuns(former.report);
		}
		report.changingEngines().forEach((engine) -> this.changingAtPeers.put(engine, nowNanos));
		Received received = new Received(report, nowNanos);
		this.reports.put(report.vmId(), received);
		for (String engine : report.runsByEngine().keySet()) {
			this.reportsByEngine.computeIfAbsent(engine, (key) -> new HashMap<>()).put(report.vmId(), received);
		}
	}

	private void forgetRuns(UsageReport former) {
		for (String engine : former.runsByEngine().keySet()) {
			Map<String, Received> senders = this.reportsByEngine.get(engine);
			if (senders != null) {
				senders.remove(former.vmId());
				if (senders.isEmpty()) {
					this.reportsByEngine.remove(engine);
				}
			}
		}
	}

	/**
	 * Returns the last report of a peer.
	 * @param vmId the peer
	 * @param sinceNanos the earliest time at which it may have been received
	 * @return the report, or {@code null} if none was received since
	 */
	@Nullable UsageReport latest(String vmId, long sinceNanos) {
		Received received = this.reports.get(vmId);
		return (received != null && received.nanos - sinceNanos >= 0) ? received.report : null;
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
		for (Received received : this.reportsByEngine.getOrDefault(engine, Map.of()).values()) {
			if (nowNanos - received.nanos < FRESH_NANOS) {
				runs.addAll(received.report.runsByEngine().getOrDefault(engine, List.of()));
			}
		}
		return runs;
	}

	/**
	 * Notes that this daemon has ordered an engine to change its role.
	 * @param engine the engine
	 * @param nowNanos the present time
	 */
	public void changing(String engine, long nowNanos) {
		this.changing.put(engine, nowNanos);
	}

	/**
	 * Returns the engines that this daemon has ordered to change their role.
	 * @param nowNanos the present time
	 * @return the engines whose change may still be under way
	 */
	public Set<String> changing(long nowNanos) {
		this.changing.values().removeIf((since) -> nowNanos - since > CHANGE_NANOS);
		return this.changing.keySet();
	}

	/**
	 * Returns whether an engine is about to change its role.
	 * @param engine the engine
	 * @param nowNanos the present time
	 * @return whether any daemon has ordered it
	 */
	public boolean isChanging(String engine, long nowNanos) {
		if (changing(nowNanos).contains(engine)) {
			return true;
		}
		Long reported = this.changingAtPeers.get(engine);
		return reported != null && nowNanos - reported < FRESH_NANOS;
	}

	/**
	 * Returns whether this daemon is the first by name of those that are heard.
	 * @param self the name of this daemon
	 * @param nowNanos the present time
	 * @return whether no daemon before it is heard, and a majority is heard
	 */
	public boolean first(String self, long nowNanos) {
		for (Map.Entry<String, Received> entry : this.reports.entrySet()) {
			if (nowNanos - entry.getValue().nanos < FRESH_NANOS && entry.getKey().compareTo(self) < 0) {
				return false;
			}
		}
		return heard(nowNanos) > this.daemons / 2;
	}

	/**
	 * Returns the deaths of servers that peers have seen.
	 * @param fingerprint identifies the request that the servers ran
	 * @return the number, by the last report of each peer
	 */
	public int crashesSeenByPeers(long fingerprint) {
		int crashes = 0;
		for (Received received : this.reports.values()) {
			crashes += received.report.crashes().getOrDefault(fingerprint, 0);
		}
		return crashes;
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
