package org.skylarkstack.configuration;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.membership.Member;
import org.skylarkstack.membership.Membership;
import org.skylarkstack.membership.MembershipView;
import org.skylarkstack.peer.PeerTransport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Distributes tickets between daemons. Not thread-safe; all methods are called on one
 * thread.
 *
 * <p>
 * Invariants:
 * <ul>
 * <li>The configuration changes only by merging, so late and repeated messages have no
 * effect.</li>
 * <li>While the configuration is empty, individual tickets are ignored. The daemon first
 * needs a complete configuration, either a snapshot from a peer whose own configuration
 * was complete or the tickets in the store. Otherwise a starting daemon would serve with
 * an old configuration in which withdrawn keys still work.</li>
 * <li>Evidence of the head is dated to the time at which this daemon sent the pull, minus
 * the age of the evidence at the peer. The evidence is never older than this, however
 * long the messages were delayed. Replies to pulls that this process did not send provide
 * no evidence.</li>
 * </ul>
 *
 * <p>
 * The response to a pull has one of two forms: tickets, if the recent tickets in memory
 * reach back far enough; otherwise all parts of a snapshot, followed by a push without
 * tickets that carries the evidence.
 */
public final class TicketSync {

	private static final Logger LOG = LoggerFactory.getLogger(TicketSync.class);

	/** Number of random peers that receive each new ticket. */
	static final int PUSH_FAN_OUT = 3;

	/** Time between two pulls while the store provides no evidence. */
	static final long PULL_PERIOD_NANOS = Duration.ofSeconds(2).toNanos();

	/** Time between two pulls while the configuration is empty. */
	static final long EMPTY_PULL_PERIOD_NANOS = Duration.ofMillis(500).toNanos();

	/**
	 * Age of evidence above which peers are pulled; corresponds to two missed polls of
	 * the store.
	 */
	static final long STALE_EVIDENCE_NANOS = Duration.ofSeconds(5).toNanos();

	/**
	 * Minimum time between two pulls from the same peer when it reports a higher number.
	 */
	static final long REPEATED_PULL_NANOS = Duration.ofMillis(500).toNanos();

	/**
	 * Time without a further part after which an incomplete snapshot is requested again.
	 */
	static final long SNAPSHOT_IDLE_NANOS = Duration.ofSeconds(3).toNanos();

	/**
	 * Maximum total length of the tickets in one message, in characters; a single longer
	 * ticket is sent alone. A character is encoded in at most three bytes, and a frame
	 * holds 1 MiB.
	 */
	static final int MESSAGE_CHARACTERS = 256 * 1024;

	/** Maximum bytes of a snapshot in one message; half of the largest frame. */
	static final int PART_BYTES = 512 * 1024;

	/**
	 * Divisor that adds 1 % to an age received from a peer, to allow for the drift
	 * between the clocks of two VMs.
	 */
	private static final long DRIFT_DIVISOR = 100;

	/**
	 * Maximum number of pulls that are tracked until their responses arrive; the oldest
	 * is discarded first.
	 */
	private static final int MAX_OPEN_PULLS = 64;

	private final TicketCodec codec = new TicketCodec();

	private final SnapshotCodec snapshots = new SnapshotCodec();

	private final SnapshotAssembler assembler = new SnapshotAssembler();

	private final RecentTickets recent;

	private final Map<Long, Long> openPulls = new LinkedHashMap<>();

	private final Map<String, Long> lastPullNanos = new HashMap<>();

	private final ConfigurationHolder configuration;

	private final KeyFreshness freshness;

	private final Membership membership;

	private final PeerTransport transport;

	private final RandomGenerator random;

	private long encodedNumber;

	private byte[] encodedBytes = new byte[0];

	private @Nullable Long nextPullNanos;

	/**
	 * Creates a ticket synchroniser.
	 * @param configuration holds the current configuration
	 * @param freshness receives evidence from peers
	 * @param membership the live members
	 * @param transport sends to peers
	 * @param random the source of randomness
	 */
	public TicketSync(ConfigurationHolder configuration, KeyFreshness freshness, Membership membership,
			PeerTransport transport, RandomGenerator random) {
		this.configuration = configuration;
		this.recent = configuration.recentTickets();
		this.freshness = freshness;
		this.membership = membership;
		this.transport = transport;
		this.random = random;
	}

	/**
	 * Pulls from random peers while the configuration is empty or the evidence of the
	 * head is missing or stale.
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void tick(long nowNanos) {
		Long next = this.nextPullNanos;
		if (next != null && nowNanos - next < 0) {
			return;
		}
		boolean empty = appliedNumber() == 0;
		long period = empty ? EMPTY_PULL_PERIOD_NANOS : PULL_PERIOD_NANOS;
		this.nextPullNanos = nowNanos + jitter(period);
		Optional<HeadEvidence> evidence = this.freshness.evidence(nowNanos);
		if (!this.assembler.isReceiving(nowNanos, SNAPSHOT_IDLE_NANOS)
				&& (empty || evidence.isEmpty() || evidence.get().ageNanos() > STALE_EVIDENCE_NANOS)) {
			// While the configuration is empty the response is a complete snapshot, so
			// only one peer is pulled at a time.
			randomPeers(empty ? 1 : PUSH_FAN_OUT).forEach((peer) -> pull(peer, nowNanos));
		}
	}

	private long jitter(long periodNanos) {
		return periodNanos * 4 / 5 + this.random.nextLong(periodNanos * 2 / 5);
	}

	/**
	 * Pushes tickets that were read from the store or submitted by an operator.
	 * @param tickets the tickets
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void onNewTickets(List<Ticket> tickets, long nowNanos) {
		Map<Long, String> bodies = new LinkedHashMap<>();
		tickets.forEach((ticket) -> bodies.put(ticket.number(), this.codec.write(ticket)));
		bodies.forEach(this.recent::add);
		pushToRandomPeers(List.copyOf(bodies.values()), nowNanos);
	}

	private void pushToRandomPeers(List<String> bodies, long nowNanos) {
		List<String> first = new ArrayList<>();
		int size = 0;
		for (String body : bodies) {
			size += body.length();
			if (size > MESSAGE_CHARACTERS && !first.isEmpty()) {
				break;
			}
			first.add(body);
		}
		// The receivers pull the rest of a long list, because the push carries the higher
		// applied number.
		if (!first.isEmpty()) {
			randomPeers(PUSH_FAN_OUT).forEach((peer) -> this.transport.send(peer, newPush(0, first, nowNanos)));
		}
	}

	private TicketPush newPush(long pullId, List<String> bodies, long nowNanos) {
		return new TicketPush(pullId, bodies, appliedNumber(), this.freshness.evidence(nowNanos).orElse(null));
	}

	private List<String> randomPeers(int count) {
		MembershipView view = this.membership.view();
		List<String> peers = new ArrayList<>(view.members()
			.values()
			.stream()
			.map(Member::vmId)
			.filter((vmId) -> !vmId.equals(view.self()))
			.toList());
		List<String> chosen = new ArrayList<>();
		while (chosen.size() < count && !peers.isEmpty()) {
			chosen.add(peers.remove(this.random.nextInt(peers.size())));
		}
		return chosen;
	}

	/**
	 * Pulls from a peer that has applied more tickets than this daemon.
	 * @param vmId the VM of the peer
	 * @param number the number up to which the peer has all tickets
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void onHigherNumber(String vmId, long number, long nowNanos) {
		Long last = this.lastPullNanos.get(vmId);
		boolean repeated = last != null && nowNanos - last < REPEATED_PULL_NANOS;
		if (number > appliedNumber() && !repeated && !this.assembler.isReceiving(nowNanos, SNAPSHOT_IDLE_NANOS)) {
			pull(vmId, nowNanos);
		}
	}

	private void pull(String vmId, long nowNanos) {
		long pullId = this.random.nextLong(1, Long.MAX_VALUE);
		this.openPulls.put(pullId, nowNanos);
		if (this.openPulls.size() > MAX_OPEN_PULLS) {
			this.openPulls.remove(this.openPulls.keySet().iterator().next());
		}
		this.lastPullNanos.keySet().retainAll(this.membership.view().members().keySet());
		this.lastPullNanos.put(vmId, nowNanos);
		this.transport.send(vmId, new TicketPull(pullId, appliedNumber()));
	}

	/**
	 * Responds to a pull, and pulls from the peer in turn if it has more tickets.
	 * @param from the VM of the peer
	 * @param pull the pull
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void onPull(String from, TicketPull pull, long nowNanos) {
		Optional<List<String>> tickets = (pull.afterNumber() == 0 && appliedNumber() > 0) ? Optional.empty()
				: this.recent.after(pull.afterNumber(), appliedNumber(), MESSAGE_CHARACTERS);
		if (tickets.isPresent() || sendSnapshot(from, pull.pullId())) {
			this.transport.send(from, newPush(pull.pullId(), tickets.orElse(List.of()), nowNanos));
		}
		onHigherNumber(from, pull.afterNumber(), nowNanos);
	}

	private boolean sendSnapshot(String to, long pullId) {
		Configuration current = this.configuration.current();
		if (this.encodedNumber != current.appliedNumber()) {
			this.encodedBytes = this.snapshots.write(current);
			this.encodedNumber = current.appliedNumber();
		}
		byte[] bytes = this.encodedBytes;
		int parts = (bytes.length + PART_BYTES - 1) / PART_BYTES;
		for (int part = 0; part < parts; part++) {
			int start = part * PART_BYTES;
			byte[] partBytes = Arrays.copyOfRange(bytes, start, Math.min(bytes.length, start + PART_BYTES));
			if (!this.transport.send(to, new ConfigurationSnapshot(pullId, part, parts, partBytes))) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Merges tickets from a peer and records its evidence of the head.
	 * @param from the VM of the peer
	 * @param push the tickets and the evidence
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void onPush(String from, TicketPush push, long nowNanos) {
		long before = appliedNumber();
		if (before > 0) {
			merge(push.tickets(), nowNanos);
		}
		Long sentNanos = this.openPulls.remove(push.pullId());
		HeadEvidence evidence = push.evidence();
		if (sentNanos != null && evidence != null && evidence.ageNanos() >= 0) {
			long age = evidence.ageNanos() + evidence.ageNanos() / DRIFT_DIVISOR;
			this.freshness.observe(evidence.number(), sentNanos - age);
		}
		if (before > 0 && appliedNumber() > before && push.appliedNumber() > appliedNumber()) {
			pull(from, nowNanos);
		}
		else {
			onHigherNumber(from, push.appliedNumber(), nowNanos);
		}
	}

	private void merge(List<String> bodies, long nowNanos) {
		Configuration current = this.configuration.current();
		Map<Long, String> added = new LinkedHashMap<>();
		List<Ticket> tickets = new ArrayList<>();
		for (String body : bodies) {
			Ticket ticket = this.codec.read(body);
			if (!current.contains(ticket.number())) {
				added.put(ticket.number(), body);
				tickets.add(ticket);
			}
		}
		if (!tickets.isEmpty()) {
			this.configuration.update((previous) -> previous.apply(tickets));
			added.forEach(this.recent::add);
			pushToRandomPeers(List.copyOf(added.values()), nowNanos);
		}
	}

	/**
	 * Adds a part of a snapshot, and merges the snapshot once all parts have arrived.
	 * @param from the VM of the peer
	 * @param part the part
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void onSnapshot(String from, ConfigurationSnapshot part, long nowNanos) {
		if (!this.openPulls.containsKey(part.pullId())) {
			return;
		}
		Optional<byte[]> whole = this.assembler.add(part, nowNanos);
		if (whole.isEmpty()) {
			return;
		}
		try {
			Configuration snapshot = this.snapshots.read(whole.get());
			this.configuration.update((previous) -> previous.merge(snapshot));
		}
		catch (IOException ex) {
			LOG.atWarn().addKeyValue("event", "peer_snapshot_damaged").addKeyValue("peer", from).log();
		}
	}

	private long appliedNumber() {
		return this.configuration.current().appliedNumber();
	}

}
