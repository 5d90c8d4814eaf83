package org.skylarkstack.peers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ObjLongConsumer;

import org.jspecify.annotations.Nullable;

/**
 * Usage of the other daemons, from the latest report of each. A peer is live if its
 * latest report was received within the last six report periods. Confined to one thread.
 */
public final class PeerUsage {

	// Six report periods. A peer that sends no report for longer is treated as
	// unreachable.
	private static final long PEER_TIMEOUT_NANOS = 1_200_000_000L;

	// Time for a role change: an engine first drains, and then needs some seconds.
	private static final long ROLE_CHANGE_NANOS = 16_000_000_000L;

	private final Map<String, ReceivedReport> reports = new HashMap<>();

	// The latest reports that contain an engine, by engine and then by sender.
	private final Map<String, Map<String, ReceivedReport>> reportsByEngine = new HashMap<>();

	private final Map<String, Long> unitsFromPeers = new HashMap<>();

	private final Map<String, Long> roleChangesOrdered = new HashMap<>();

	// When a peer last reported that it has ordered an engine to change its role.
	private final Map<String, Long> roleChangesReported = new HashMap<>();

	// Longer than a daemon takes to stop after it has removed its registration.
	private static final long DEPARTURE_NANOS = 10_000_000_000L;

	private Set<String> registeredPeers = Set.of();

	// When peers that are no longer registered were last registered.
	private final Map<String, Long> departures = new HashMap<>();

	private int registeredDaemons = 1;

	// Daemons that start together register within some seconds, and their list is read
	// again a second after each change.
	private static final long LIST_SETTLING_NANOS = 2_000_000_000L;

	// While daemons restart one after the other, the list changes all the time. After
	// this time, every daemon that was stopping when the list was first read has ended.
	private static final long MAX_LIST_SETTLING_NANOS = DEPARTURE_NANOS;

	private boolean listRead;

	private long listReadNanos;

	private boolean listComplete;

	private long listChangedNanos;

	private ObjLongConsumer<String> unitsListener = (team, nowNanos) -> {
	};

	private ObjLongConsumer<CrashReport> crashListener = (report, nowNanos) -> {
	};

	private ObjLongConsumer<Map<String, Integer>> paceListener = (paces, nowNanos) -> {
	};

	private ObjLongConsumer<Long> configurationListener = (version, nowNanos) -> {
	};

	/**
	 * Sets the listener for units that peers report.
	 * @param listener called with the team and the current monotonic time in nanoseconds
	 * after the units of a team have changed
	 */
	public void onUnitsReported(ObjLongConsumer<String> listener) {
		this.unitsListener = listener;
	}

	/**
	 * Sets the listener for crashes of backend servers that peers report.
	 * @param listener called with the part of each report about crashes and the current
	 * monotonic time in nanoseconds
	 */
	public void onCrashesReported(ObjLongConsumer<CrashReport> listener) {
		this.crashListener = listener;
	}

	/**
	 * Sets the listener for the paces of servers that peers report.
	 * @param listener called with the paces of each report that contains some, in
	 * hundredths of the usual time by server, and the current monotonic time in
	 * nanoseconds
	 */
	public void onPacesReported(ObjLongConsumer<Map<String, Integer>> listener) {
		this.paceListener = listener;
	}

	/**
	 * Sets the listener for the configuration versions of peers.
	 * @param listener called with the version in force at the sender of each report and
	 * the current monotonic time in nanoseconds
	 */
	public void onConfigurationReported(ObjLongConsumer<Long> listener) {
		this.configurationListener = listener;
	}

	/**
	 * Sets the registered peers, and discards the reports of all other daemons.
	 * @param peers the VM names of the other daemons
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void setRegisteredPeers(Set<String> peers, long nowNanos) {
		this.listComplete = isListComplete(nowNanos);
		if (!this.listRead || !this.registeredPeers.equals(peers)) {
			this.listChangedNanos = nowNanos;
		}
		this.listReadNanos = this.listRead ? this.listReadNanos : nowNanos;
		this.listRead = true;
		this.registeredPeers.forEach((peer) -> this.departures.put(peer, nowNanos));
		this.departures.keySet().removeAll(peers);
		this.registeredPeers = Set.copyOf(peers);
		this.registeredDaemons = peers.size() + 1;
		this.reports.keySet().retainAll(peers);
		this.reportsByEngine.values().removeIf((senders) -> {
			senders.keySet().retainAll(peers);
			return senders.isEmpty();
		});
	}

	/**
	 * Returns whether the list of registered peers is complete, apart from daemons that
	 * start or stop one by one. While many daemons start together, each of them first
	 * reads a list that contains only some of the others.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return whether the list has been read and has once not changed for some seconds,
	 * or was read so long ago that no daemon from before can be running
	 */
	public boolean isListComplete(long nowNanos) {
		return this.listComplete || this.listRead && (nowNanos - this.listChangedNanos >= LIST_SETTLING_NANOS
				|| nowNanos - this.listReadNanos >= MAX_LIST_SETTLING_NANOS);
	}

	/**
	 * Records a report. Reports that arrive late or repeatedly are ignored.
	 * @param report the report
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void recordReport(UsageReport report, long nowNanos) {
		ReceivedReport previous = this.reports.get(report.vmId());
		Map<String, Long> baseline = report.unitsByTeam();
		if (previous != null && previous.report.incarnation() == report.incarnation()) {
			if (previous.report.sequenceNumber() >= report.sequenceNumber()) {
				return;
			}
			baseline = previous.report.unitsByTeam();
		}
		// The first report of a process only sets the baseline, because units that the
		// peer took shortly before it cannot be distinguished from units that it took
		// long ago. This is why team limits start empty after a daemon has started.
		List<String> changedTeams = new ArrayList<>();
		for (Map.Entry<String, Long> entry : report.unitsByTeam().entrySet()) {
			long taken = entry.getValue() - baseline.getOrDefault(entry.getKey(), 0L);
			if (taken != 0) {
				this.unitsFromPeers.merge(entry.getKey(), taken, Long::sum);
				changedTeams.add(entry.getKey());
			}
		}
		if (previous != null) {
			removeMemory(previous.report);
		}
		report.enginesChangingRole().forEach((engine) -> this.roleChangesReported.put(engine, nowNanos));
		ReceivedReport received = new ReceivedReport(report, nowNanos);
		this.reports.put(report.vmId(), received);
		for (String engine : report.memoryByEngine().keySet()) {
			this.reportsByEngine.computeIfAbsent(engine, (key) -> new HashMap<>()).put(report.vmId(), received);
		}
		this.crashListener.accept(report.crashes(), nowNanos);
		changedTeams.forEach((team) -> this.unitsListener.accept(team, nowNanos));
		if (!report.paces().isEmpty()) {
			this.paceListener.accept(report.paces(), nowNanos);
		}
		this.configurationListener.accept(report.configurationVersion(), nowNanos);
	}

	/**
	 * Returns whether a report of the same process has been received before.
	 * @param report the report
	 * @return whether the latest report of its sender has the same incarnation
	 */
	boolean knowsProcess(UsageReport report) {
		ReceivedReport previous = this.reports.get(report.vmId());
		return previous != null && previous.report.incarnation() == report.incarnation();
	}

	private void removeMemory(UsageReport previous) {
		for (String engine : previous.memoryByEngine().keySet()) {
			Map<String, ReceivedReport> senders = this.reportsByEngine.get(engine);
			if (senders != null) {
				senders.remove(previous.vmId());
				if (senders.isEmpty()) {
					this.reportsByEngine.remove(engine);
				}
			}
		}
	}

	/**
	 * Returns the latest report of a peer.
	 * @param vmId the name of the peer's VM
	 * @param sinceNanos the earliest time of its receipt, as monotonic time in
	 * nanoseconds
	 * @return the report, or {@code null} if none has been received since then
	 */
	@Nullable UsageReport latestReportSince(String vmId, long sinceNanos) {
		ReceivedReport received = this.reports.get(vmId);
		return (received != null && received.receivedNanos - sinceNanos >= 0) ? received.report : null;
	}

	/**
	 * Returns the units that peers have reported for a team since this process started.
	 * @param team the team
	 * @return the units, without those that a process took before its first report
	 */
	public long unitsFromPeers(String team) {
		return this.unitsFromPeers.getOrDefault(team, 0L);
	}

	/**
	 * Returns the memory that the requests of live peers occupy at an engine.
	 * @param engine the engine
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the memory of each request
	 */
	public List<RequestMemory> memoryOfPeers(String engine, long nowNanos) {
		List<RequestMemory> requests = new ArrayList<>();
		for (ReceivedReport received : this.reportsByEngine.getOrDefault(engine, Map.of()).values()) {
			if (nowNanos - received.receivedNanos < PEER_TIMEOUT_NANOS) {
				requests.addAll(received.report.memoryByEngine().getOrDefault(engine, List.of()));
			}
		}
		return requests;
	}

	/**
	 * Records that this daemon has ordered an engine to change its role.
	 * @param engine the engine
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void recordRoleChange(String engine, long nowNanos) {
		this.roleChangesOrdered.put(engine, nowNanos);
	}

	/**
	 * Returns the engines that this daemon has ordered to change their role.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the engines whose role change may still be in progress
	 */
	public Set<String> roleChangesInProgress(long nowNanos) {
		this.roleChangesOrdered.values().removeIf((since) -> nowNanos - since > ROLE_CHANGE_NANOS);
		return this.roleChangesOrdered.keySet();
	}

	/**
	 * Returns whether an engine may be changing its role.
	 * @param engine the engine
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return whether this daemon or a live peer has ordered the change
	 */
	public boolean isChangingRole(String engine, long nowNanos) {
		if (roleChangesInProgress(nowNanos).contains(engine)) {
			return true;
		}
		Long reported = this.roleChangesReported.get(engine);
		return reported != null && nowNanos - reported < PEER_TIMEOUT_NANOS;
	}

	/**
	 * Returns whether this daemon is the leader of the fleet, judged by the reports that
	 * it has received.
	 * @param self the name of this daemon's VM
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return whether no live peer comes before it by name, and a majority of the
	 * registered daemons is live
	 */
	public boolean isFirstLiveDaemon(String self, long nowNanos) {
		for (Map.Entry<String, ReceivedReport> entry : this.reports.entrySet()) {
			if (nowNanos - entry.getValue().receivedNanos < PEER_TIMEOUT_NANOS && entry.getKey().compareTo(self) < 0) {
				return false;
			}
		}
		return liveDaemons(nowNanos) > this.registeredDaemons / 2;
	}

	/**
	 * Returns whether a peer is live.
	 * @param vmId the name of the peer's VM
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return whether a recent report of the peer has been received
	 */
	public boolean isLive(String vmId, long nowNanos) {
		ReceivedReport received = this.reports.get(vmId);
		return received != null && nowNanos - received.receivedNanos < PEER_TIMEOUT_NANOS;
	}

	/**
	 * Returns the number of registered daemons, including this one.
	 * @return the number, at least 1
	 */
	public int registeredDaemons() {
		return this.registeredDaemons;
	}

	/**
	 * Returns whether the fleet has several groups, between which reports are relayed.
	 * @return whether more daemons are registered than form a single group
	 */
	public boolean isRelayed() {
		return this.registeredDaemons > PeerGroups.MIN_GROUP_SIZE;
	}

	/**
	 * Returns the other daemons that are registered, or were until shortly before and may
	 * still serve callers.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the names of their VMs
	 */
	public Set<String> recentDaemons(long nowNanos) {
		this.departures.values().removeIf((since) -> nowNanos - since > DEPARTURE_NANOS);
		Set<String> daemons = new HashSet<>(this.registeredPeers);
		daemons.addAll(this.departures.keySet());
		return daemons;
	}

	/**
	 * Returns the number of live daemons, including this one.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the number, at least 1 and at most {@link #registeredDaemons()}
	 */
	public int liveDaemons(long nowNanos) {
		int live = 1;
		for (ReceivedReport received : this.reports.values()) {
			live += (nowNanos - received.receivedNanos < PEER_TIMEOUT_NANOS) ? 1 : 0;
		}
		return Math.min(live, this.registeredDaemons);
	}

	private record ReceivedReport(UsageReport report, long receivedNanos) {

	}

}
