package org.skylarkstack.membership;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.kernel.Duty;
import org.skylarkstack.misc.TimeSource;
import org.skylarkstack.peer.PeerTransport;
import org.skylarkstack.store.StoreException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exchanges heartbeats and publishes the membership view. Listeners are called on the
 * membership thread and must not block.
 */
public final class MembershipService implements Membership, AutoCloseable {

	private static final Logger LOG = LoggerFactory.getLogger(MembershipService.class);

	private static final int RING_MESSAGES = 4096;

	private static final Duration STEP_PERIOD = Duration.ofMillis(50);

	private final MembershipTable table;

	private final long incarnation;

	private final List<String> peers;

	private final MembershipTiming timing;

	private final PeerTransport transport;

	private final PlatformVmList platformList;

	private final LongSupplier appliedNumber;

	private final TimeSource time;

	private final Duty<Runnable> duty;

	private final ExecutorService listReader;

	private final AtomicBoolean listReading = new AtomicBoolean();

	private final List<Consumer<MembershipView>> viewListeners = new CopyOnWriteArrayList<>();

	private final List<AppliedNumberListener> appliedListeners = new CopyOnWriteArrayList<>();

	private volatile @Nullable LoanExchange loanExchange;

	private volatile MembershipView view;

	private volatile List<PeerStatus> statuses = List.of();

	private long nextHeartbeatNanos;

	private long nextListNanos;

	/**
	 * Creates a service; {@link #start()} starts its thread.
	 * @param self this daemon
	 * @param peers the VMs of the peers in the settings
	 * @param timing the heartbeat period and timeouts
	 * @param transport sends heartbeats
	 * @param platformList reads the platform's VM list
	 * @param appliedNumber supplies this daemon's applied ticket number
	 * @param time the time source
	 */
	public MembershipService(Member self, List<String> peers, MembershipTiming timing, PeerTransport transport,
			PlatformVmList platformList, LongSupplier appliedNumber, TimeSource time) {
		this.table = new MembershipTable(self, peers, timing);
		this.incarnation = self.incarnation();
		this.peers = List.copyOf(peers);
		this.timing = timing;
		this.transport = transport;
		this.platformList = platformList;
		this.appliedNumber = appliedNumber;
		this.time = time;
		this.view = this.table.view();
		this.nextHeartbeatNanos = time.nanos();
		this.nextListNanos = time.nanos();
		this.duty = new Duty<>("membership-" + self.vmId(), RING_MESSAGES, STEP_PERIOD, Runnable::run, this::step);
		this.listReader = Executors.newSingleThreadExecutor((task) -> new Thread(task, "vm-list-" + self.vmId()));
		transport.handle(Heartbeat.class, (from, heartbeat) -> this.duty.offer(() -> receive(from, heartbeat)));
	}

	/** Starts the thread. */
	public void start() {
		this.duty.start();
	}

	/**
	 * Sets the component that sends and receives loans of rate slices with heartbeats.
	 * @param exchange creates and accepts the loans
	 */
	public void setLoanExchange(LoanExchange exchange) {
		this.loanExchange = exchange;
	}

	/**
	 * Adds a listener for changes of the view.
	 * @param listener called with each new view
	 */
	public void onViewChange(Consumer<MembershipView> listener) {
		this.viewListeners.add(listener);
	}

	/**
	 * Adds a listener for the applied numbers that peers report.
	 * @param listener called with each heartbeat
	 */
	public void onAppliedNumber(AppliedNumberListener listener) {
		this.appliedListeners.add(listener);
	}

	@Override
	public MembershipView view() {
		return this.view;
	}

	@Override
	public long incarnation() {
		return this.incarnation;
	}

	@Override
	public boolean isDead(String vmId, long otherIncarnation) {
		synchronized (this.table) {
			return this.table.isDead(vmId, otherIncarnation, this.time.nanos());
		}
	}

	/**
	 * Returns all peers from which a heartbeat has arrived and that were not removed,
	 * including suspect ones.
	 * @return the peers ordered by VM
	 */
	public List<PeerStatus> peers() {
		return this.statuses;
	}

	/**
	 * Returns the time for which a peer counts as live after its last heartbeat.
	 * @return the time in nanoseconds
	 */
	public long liveNanos() {
		return this.table.liveNanos();
	}

	/** Notifies all peers that this daemon is leaving. */
	public void leave() {
		this.duty.offer(() -> {
			synchronized (this.table) {
				this.table.leave();
			}
			sendHeartbeats(this.time.nanos());
			publish();
		});
	}

	private void step() {
		long now = this.time.nanos();
		synchronized (this.table) {
			this.table.advance(now);
		}
		if (now - this.nextHeartbeatNanos >= 0) {
			this.nextHeartbeatNanos = now + this.table.periodNanos();
			sendHeartbeats(now);
		}
		if (now - this.nextListNanos >= 0 && this.listReading.compareAndSet(false, true)) {
			this.nextListNanos = now + this.timing.listPeriodNanos();
			this.listReader.execute(this::readList);
		}
		publish();
	}

	private void sendHeartbeats(long nowNanos) {
		LoanExchange exchange = this.loanExchange;
		for (String peer : this.peers) {
			PeerStatus status;
			synchronized (this.table) {
				status = this.table.peer(peer).orElse(null);
			}
			LoanOffer loan = (exchange != null && status != null && status.state() == MemberState.LIVE)
					? exchange.offer(peer, status.member().incarnation(), nowNanos) : null;
			Heartbeat heartbeat;
			synchronized (this.table) {
				heartbeat = this.table.heartbeatFor(peer, this.appliedNumber.getAsLong(), loan, nowNanos);
			}
			this.transport.send(peer, heartbeat);
		}
	}

	private void receive(String from, Heartbeat heartbeat) {
		long now = this.time.nanos();
		synchronized (this.table) {
			if (!this.table.recordHeartbeat(from, heartbeat, now)) {
				return;
			}
		}
		LoanExchange exchange = this.loanExchange;
		if (exchange != null && heartbeat.loan() != null && heartbeat.echoIncarnation() == this.incarnation) {
			exchange.accept(from, heartbeat.incarnation(), Objects.requireNonNull(heartbeat.loan()),
					heartbeat.echoNanos(), now);
		}
		this.appliedListeners
			.forEach((listener) -> listener.applied(from, heartbeat.incarnation(), heartbeat.appliedNumber(), now));
		publish();
	}

	private void readList() {
		long started = this.time.nanos();
		try {
			List<String> vmIds = this.platformList.read();
			this.duty.offer(() -> {
				synchronized (this.table) {
					this.table.applyPlatformList(vmIds, started);
				}
				publish();
			});
		}
		catch (StoreException ex) {
			LOG.atWarn().addKeyValue("event", "vm_list_failed").addKeyValue("reason", ex.getMessage()).log();
		}
		finally {
			this.listReading.set(false);
		}
	}

	private void publish() {
		MembershipView next;
		synchronized (this.table) {
			next = this.table.view();
			this.statuses = this.table.peers();
		}
		if (!next.equals(this.view)) {
			this.view = next;
			LOG.atInfo()
				.addKeyValue("event", "view_changed")
				.addKeyValue("vm", next.self())
				.addKeyValue("live", next.members().size())
				.log();
			this.viewListeners.forEach((listener) -> listener.accept(next));
		}
	}

	@Override
	public void close() {
		this.duty.close();
		this.listReader.shutdownNow();
	}

}
