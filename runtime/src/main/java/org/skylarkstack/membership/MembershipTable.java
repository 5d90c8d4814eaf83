package org.skylarkstack.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;

/**
 * Tracks the peers and decides which are live, suspect or dead. Not thread-safe.
 *
 * <p>
 * Rules:
 * <ul>
 * <li>A peer is live while a heartbeat has arrived within the last
 * {@link MembershipTiming#livePeriods()} heartbeat periods, and suspect after that.</li>
 * <li>A suspect peer is removed when the platform's VM list no longer contains it,
 * provided that the read of the list began after the peer became suspect. A failed read
 * removes no peer. A peer that no list has contained, because the list lags, is removed
 * only after {@link MembershipTiming#unlistedNanos()} without a heartbeat.</li>
 * <li>An incarnation is dead when it was removed or replaced by another. A removed
 * incarnation becomes live again when a heartbeat arrives from it, as after a long
 * network partition; a replaced one never does.</li>
 * </ul>
 */
public final class MembershipTable {

	private static final int MAX_INCARNATIONS = 4096;

	private final Member self;

	private final MembershipTiming timing;

	private final Set<String> configuredPeers;

	private final Map<String, PeerStatus> peers = new TreeMap<>();

	private final Map<String, Long> suspectSinceNanos = new HashMap<>();

	// The value is true if the incarnation was replaced, false if it was removed.
	private final Map<DeadIncarnation, Boolean> dead = new BoundedMap<>();

	private final Map<DeadIncarnation, Long> firstQueryNanos = new BoundedMap<>();

	private Set<String> lastListing = Set.of();

	private boolean leaving;

	/**
	 * Creates a table without peers.
	 * @param self this daemon
	 * @param configuredPeers the VMs of the peers in the settings
	 * @param timing the heartbeat period and timeouts
	 */
	public MembershipTable(Member self, Collection<String> configuredPeers, MembershipTiming timing) {
		this.self = self;
		this.configuredPeers = Set.copyOf(configuredPeers);
		this.timing = timing;
	}

	/**
	 * Returns the heartbeat period for the configured fleet size.
	 * @return the period in nanoseconds
	 */
	public long periodNanos() {
		return this.timing.periodNanos(this.configuredPeers.size() + 1);
	}

	/**
	 * Returns the time for which a peer counts as live after its last heartbeat.
	 * @return the time in nanoseconds
	 */
	public long liveNanos() {
		return this.timing.livePeriods() * periodNanos();
	}

	/** Marks this daemon as leaving. */
	public void leave() {
		this.leaving = true;
	}

	/**
	 * Records a heartbeat.
	 * @param from the sending VM
	 * @param heartbeat the heartbeat
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return whether it was accepted; a heartbeat of a replaced incarnation is rejected
	 */
	public boolean recordHeartbeat(String from, Heartbeat heartbeat, long nowNanos) {
		PeerStatus previous = this.peers.get(from);
		if (Boolean.TRUE.equals(this.dead.get(new DeadIncarnation(from, heartbeat.incarnation())))) {
			return false;
		}
		boolean sameIncarnation = previous != null && previous.member().incarnation() == heartbeat.incarnation();
		if (previous != null && !sameIncarnation) {
			markDead(from, previous.member().incarnation(), true);
		}
		boolean echoes = heartbeat.echoIncarnation() == this.self.incarnation();
		long lastEcho = echoes ? heartbeat.echoNanos()
				: ((previous != null && sameIncarnation) ? previous.lastEchoNanos() : nowNanos);
		boolean echoed = echoes || (previous != null && sameIncarnation && previous.echoed());
		// The list is read rarely, so a list read before the first heartbeat counts too.
		boolean listed = this.lastListing.contains(from) || (previous != null && previous.listed());
		this.dead.remove(new DeadIncarnation(from, heartbeat.incarnation()));
		this.suspectSinceNanos.remove(from);
		this.peers.put(from,
				new PeerStatus(new Member(from, heartbeat.incarnation(), heartbeat.dataCentre(), heartbeat.leaving()),
						MemberState.LIVE, nowNanos, heartbeat.sentNanos(), lastEcho, echoed, heartbeat.appliedNumber(),
						listed));
		return true;
	}

	/**
	 * Marks peers without recent heartbeats as suspect, and removes suspect peers that
	 * the platform never listed once their timeout has passed.
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	public void advance(long nowNanos) {
		for (PeerStatus status : List.copyOf(this.peers.values())) {
			long silence = nowNanos - status.lastHeartbeatNanos();
			String vmId = status.member().vmId();
			if (status.state() == MemberState.LIVE && silence > liveNanos()) {
				this.peers.put(vmId, status.withState(MemberState.SUSPECT));
				this.suspectSinceNanos.put(vmId, nowNanos);
			}
			else if (status.state() == MemberState.SUSPECT && !status.listed()
					&& silence > this.timing.unlistedNanos()) {
				remove(status);
			}
		}
	}

	/**
	 * Applies the platform's VM list and removes suspect peers that it no longer
	 * contains.
	 * @param vmIds the VMs in the list
	 * @param readNanos the monotonic time in nanoseconds just before the read began
	 */
	public void applyPlatformList(Collection<String> vmIds, long readNanos) {
		Set<String> listedVms = Set.copyOf(vmIds);
		this.lastListing = listedVms;
		for (PeerStatus status : List.copyOf(this.peers.values())) {
			String vmId = status.member().vmId();
			if (listedVms.contains(vmId)) {
				this.peers.put(vmId, status.withListed());
				continue;
			}
			Long since = this.suspectSinceNanos.get(vmId);
			if (status.listed() && since != null && readNanos - since >= 0) {
				remove(status);
			}
		}
	}

	private void remove(PeerStatus status) {
		String vmId = status.member().vmId();
		this.peers.remove(vmId);
		this.suspectSinceNanos.remove(vmId);
		markDead(vmId, status.member().incarnation(), false);
	}

	private void markDead(String vmId, long incarnation, boolean replaced) {
		this.dead.put(new DeadIncarnation(vmId, incarnation), replaced);
	}

	/**
	 * Returns whether an incarnation is dead: removed, or replaced by a new one.
	 *
	 * <p>
	 * An incarnation from which this daemon has never received a heartbeat may be older
	 * or newer than the one that it has recorded. It is dead once another incarnation of
	 * the VM has echoed a timestamp taken after the first query for it. By the time of
	 * that query the unknown incarnation had already started, because the caller had
	 * received its number; a VM runs one daemon at a time; and the other incarnation was
	 * running after the query.
	 * @param vmId the VM
	 * @param incarnation the incarnation
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return whether it is known to be dead; {@code false} if that is unknown
	 */
	public boolean isDead(String vmId, long incarnation, long nowNanos) {
		if (vmId.equals(this.self.vmId())) {
			return incarnation != this.self.incarnation();
		}
		DeadIncarnation key = new DeadIncarnation(vmId, incarnation);
		if (this.dead.containsKey(key)) {
			return true;
		}
		PeerStatus status = this.peers.get(vmId);
		if (status == null || status.member().incarnation() == incarnation) {
			return false;
		}
		long queriedNanos = this.firstQueryNanos.computeIfAbsent(key, (absent) -> nowNanos);
		return status.echoed() && status.lastEchoNanos() - queriedNanos > 0;
	}

	/**
	 * Finds a peer.
	 * @param vmId the VM of the peer
	 * @return its status, if a heartbeat has arrived from it and it was not removed
	 */
	public Optional<PeerStatus> peer(String vmId) {
		return Optional.ofNullable(this.peers.get(vmId));
	}

	/**
	 * Returns all peers from which a heartbeat has arrived and that were not removed.
	 * @return the peers ordered by VM
	 */
	public List<PeerStatus> peers() {
		return List.copyOf(this.peers.values());
	}

	/**
	 * Creates the heartbeat for a peer.
	 * @param peer the receiving VM
	 * @param appliedNumber this daemon's applied ticket number
	 * @param loan the loan for the peer, or {@code null} for none
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the heartbeat
	 */
	public Heartbeat heartbeatFor(String peer, long appliedNumber, @Nullable LoanOffer loan, long nowNanos) {
		PeerStatus status = this.peers.get(peer);
		long echoIncarnation = (status != null) ? status.member().incarnation() : 0;
		long echoNanos = (status != null) ? status.peerSentNanos() : 0;
		return new Heartbeat(this.self.dataCentre(), this.self.incarnation(), nowNanos, echoIncarnation, echoNanos,
				appliedNumber, this.leaving, loan);
	}

	/**
	 * Returns the live members, this daemon included.
	 * @return the view
	 */
	public MembershipView view() {
		TreeMap<String, Member> members = new TreeMap<>();
		members.put(this.self.vmId(),
				new Member(this.self.vmId(), this.self.incarnation(), this.self.dataCentre(), this.leaving));
		for (PeerStatus status : this.peers.values()) {
			if (status.state() == MemberState.LIVE) {
				members.put(status.member().vmId(), status.member());
			}
		}
		return new MembershipView(this.self.vmId(), members);
	}

	/**
	 * Map that evicts its oldest entry when it is full.
	 *
	 * @param <V> the value type
	 */
	private static final class BoundedMap<V> extends LinkedHashMap<DeadIncarnation, V> {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<DeadIncarnation, V> eldest) {
			return size() > MAX_INCARNATIONS;
		}

	}

	private record DeadIncarnation(String vmId, long incarnation) {

	}

}
