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
 * Decides who is live, suspect or dead. Not thread-safe.
 *
 * <p>
 * Rules:
 * <ul>
 * <li>A peer is live while a heartbeat has arrived within the last
 * {@link MembershipTerms#livePeriods()} periods, and suspect after that.</li>
 * <li>A suspect peer is removed when a reading of the platform's list that began after
 * the peer became suspect no longer names it. A list that cannot be read removes nobody.
 * A peer that no list has named, because the list lags, is removed only after
 * {@link MembershipTerms#unlistedNanos()} of silence.</li>
 * <li>An incarnation is dead when it was removed or replaced by another. A removed
 * incarnation that is heard from again, as after a long cut, is live again; a replaced
 * one never is.</li>
 * </ul>
 */
public final class MembershipTable {

	private static final int MAX_INCARNATIONS = 4096;

	private final Member self;

	private final MembershipTerms terms;

	private final Set<String> configuredPeers;

	private final Map<String, PeerStatus> peers = new TreeMap<>();

	private final Map<String, Long> suspectSinceNanos = new HashMap<>();

	// The value says whether the incarnation was replaced.
	private final Map<DeadIncarnation, Boolean> dead = new BoundedMap<>();

	private final Map<DeadIncarnation, Long> firstQueryNanos = new BoundedMap<>();

	private Set<String> lastListing = Set.of();

	private boolean leaving;

	/**
	 * Creates a table.
	 * @param self this daemon
	 * @param configuredPeers the VMs of the peers in the settings
	 * @param terms the time bounds
	 */
	public MembershipTable(Member self, Collection<String> configuredPeers, MembershipTerms terms) {
		this.self = self;
		this.configuredPeers = Set.copyOf(configuredPeers);
		this.terms = terms;
	}

	/**
	 * Returns the heartbeat period for the present fleet.
	 * @return the period in nanoseconds
	 */
	public long periodNanos() {
		return this.terms.periodNanos(this.configuredPeers.size() + 1);
	}

	/**
	 * Returns the time for which a peer counts as live after its last heartbeat.
	 * @return the time in nanoseconds
	 */
	public long liveNanos() {
		return this.terms.livePeriods() * periodNanos();
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
	 * @return whether it counts; a heartbeat of a replaced incarnation does not
	 */
	public boolean heartbeat(String from, Heartbeat heartbeat, long nowNanos) {
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
		// The list is read rarely; a reading from before the first heartbeat counts too.
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
	 * Turns silent peers into suspects and removes those that were never listed.
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
					&& silence > this.terms.unlistedNanos()) {
				remove(status);
			}
		}
	}

	/**
	 * Takes a reading of the platform's list.
	 * @param vmIds the VMs in the list
	 * @param readNanos the monotonic time before the reading began
	 */
	public void platformList(Collection<String> vmIds, long readNanos) {
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
	 * An incarnation that this daemon has never heard from may be older or newer than the
	 * one it knows. It is dead once another incarnation of the VM has echoed a timestamp
	 * taken after the first question: the asker had seen a trace of it by then, a VM runs
	 * one daemon at a time, and the other one ran later.
	 * @param vmId the VM
	 * @param incarnation the incarnation
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return whether it is known to be dead
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
	 * @param vmId the peer
	 * @return its status, if it was heard from and not removed
	 */
	public Optional<PeerStatus> peer(String vmId) {
		return Optional.ofNullable(this.peers.get(vmId));
	}

	/**
	 * Returns all peers that were heard from and not removed.
	 * @return the peers in order of VM
	 */
	public List<PeerStatus> peers() {
		return List.copyOf(this.peers.values());
	}

	/**
	 * Returns the heartbeat for a peer.
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
	 * Map that forgets its oldest entries.
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
