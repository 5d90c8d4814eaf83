package org.skylarkstack.configuration;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.random.RandomGenerator;

import org.skylarkstack.kernel.Duty;
import org.skylarkstack.misc.TimeSource;
import org.skylarkstack.peer.PeerTransport;
import org.skylarkstack.store.StoreException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the threads that keep the configuration up to date: one polls the store, which may
 * block, one exchanges tickets with peers, and one writes snapshots.
 */
public final class ConfigurationDuty implements AppliedNumbers, AutoCloseable {

	private static final Logger LOG = LoggerFactory.getLogger(ConfigurationDuty.class);

	/** Mean time between two polls of the store. */
	private static final long POLL_MILLIS = 2_000;

	/** Maximum deviation of a poll from the poll period, as a fraction of the period. */
	private static final double POLL_JITTER_FRACTION = 0.2;

	/** Capacity of the message queue; small because a message may take up to 1 MiB. */
	private static final int RING_MESSAGES = 128;

	/** Time between two checks whether the first configuration may come into force. */
	private static final long START_CHECK_MILLIS = 100;

	private static final Duration STEP_PERIOD = Duration.ofMillis(250);

	/** Time between two checks whether a snapshot is due. */
	private static final long SNAPSHOT_CHECK_SECONDS = 10;

	private final ScheduledExecutorService poller = executor("ticket-poll");

	/** Uses a separate thread, because a slow object store must not delay tickets. */
	private final ScheduledExecutorService snapshotWriter = executor("snapshot-write");

	private final String vmId;

	private final TicketLog log;

	private final SnapshotKeeper snapshots;

	private final KeyFreshness freshness;

	private final ConfigurationHolder configuration;

	private final AcknowledgementTable acknowledgements;

	private final TicketSync sync;

	private final StartBarrier startBarrier;

	private final TimeSource time;

	private final RandomGenerator random;

	private final Duty<LongConsumer> duty;

	private boolean snapshotRead;

	/** Number of the last ticket that was read and must not come into force yet, or 0. */
	private long waitingNumber;

	/**
	 * Creates the threads; {@link #start(PeerTransport)} starts them.
	 * @param vmId the identifier of this VM
	 * @param log the log of tickets
	 * @param snapshots reads and writes snapshots
	 * @param freshness receives evidence from the store
	 * @param configuration holds the current configuration
	 * @param acknowledgements receives the applied numbers of all VMs
	 * @param sync exchanges tickets with peers
	 * @param startBarrier decides when the first configuration comes into force
	 * @param time the time source
	 * @param random the source of jitter between polls
	 */
	public ConfigurationDuty(String vmId, TicketLog log, SnapshotKeeper snapshots, KeyFreshness freshness,
			ConfigurationHolder configuration, AcknowledgementTable acknowledgements, TicketSync sync,
			StartBarrier startBarrier, TimeSource time, RandomGenerator random) {
		this.vmId = vmId;
		this.log = log;
		this.snapshots = snapshots;
		this.freshness = freshness;
		this.configuration = configuration;
		this.acknowledgements = acknowledgements;
		this.sync = sync;
		this.startBarrier = startBarrier;
		log.publishFirstWhen((number) -> startBarrier.permits(number, time.nanos()));
		this.time = time;
		this.random = random;
		this.duty = new Duty<>("ticket-sync", RING_MESSAGES, STEP_PERIOD, (event) -> event.accept(this.time.nanos()),
				() -> this.sync.tick(this.time.nanos()));
	}

	private static ScheduledExecutorService executor(String name) {
		return Executors.newSingleThreadScheduledExecutor((task) -> {
			Thread thread = new Thread(task, name);
			thread.setDaemon(true);
			return thread;
		});
	}

	/**
	 * Registers the message handlers and starts the threads.
	 * @param transport receives messages from peers
	 */
	public void start(PeerTransport transport) {
		this.acknowledgements.report(this.vmId, appliedNumber(), this.time.nanos());
		this.configuration.onChange((current) -> {
			this.acknowledgements.recordApplied(current.appliedNumber(), this.time.nanos());
			this.acknowledgements.report(this.vmId, current.appliedNumber(), this.time.nanos());
		});
		this.log.onNewTickets(this::offerNewTickets);
		transport.handle(TicketPush.class, (from, push) -> offer((now) -> this.sync.onPush(from, push, now)));
		transport.handle(TicketPull.class, (from, pull) -> offer((now) -> this.sync.onPull(from, pull, now)));
		transport.handle(ConfigurationSnapshot.class,
				(from, part) -> offer((now) -> this.sync.onSnapshot(from, part, now)));
		this.duty.start();
		this.poller.execute(this::poll);
		this.snapshotWriter.scheduleWithFixedDelay(this::writeSnapshot, SNAPSHOT_CHECK_SECONDS, SNAPSHOT_CHECK_SECONDS,
				TimeUnit.SECONDS);
	}

	private void offer(LongConsumer event) {
		this.duty.offer(event);
	}

	private void offerNewTickets(List<Ticket> tickets) {
		offer((now) -> this.sync.onNewTickets(tickets, now));
	}

	private void poll() {
		long nowNanos = this.time.nanos();
		boolean waiting = false;
		try {
			waiting = appliedNumber() == 0 && this.waitingNumber > 0
					&& !this.startBarrier.permits(this.waitingNumber, nowNanos);
			if (!waiting) {
				readLog(nowNanos);
				waiting = this.waitingNumber > 0;
			}
		}
		catch (StoreException ex) {
			LOG.atWarn().addKeyValue("event", "ticket_poll_failed").addKeyValue("reason", ex.getMessage()).log();
		}
		catch (RuntimeException ex) {
			// An invalid ticket must not stop the polling.
			LOG.atError().addKeyValue("event", "ticket_poll_failed").setCause(ex).log();
		}
		finally {
			schedulePoll(waiting);
		}
	}

	private void readLog(long nowNanos) {
		this.waitingNumber = 0;
		readSnapshot();
		long applied = this.log.catchUp();
		this.waitingNumber = this.log.unpublishedNumber();
		if (this.waitingNumber == 0) {
			this.freshness.observe(applied, nowNanos);
			this.log.recover(nowNanos);
		}
	}

	private void writeSnapshot() {
		try {
			this.snapshots.step(this.time.nanos());
		}
		catch (RuntimeException ex) {
			LOG.atError().addKeyValue("event", "snapshot_write_failed").setCause(ex).log();
		}
	}

	private void schedulePoll(boolean waiting) {
		long delay = waiting ? START_CHECK_MILLIS : (long) (POLL_MILLIS
				* (1 - POLL_JITTER_FRACTION + 2 * POLL_JITTER_FRACTION * this.random.nextDouble()));
		try {
			this.poller.schedule(this::poll, delay, TimeUnit.MILLISECONDS);
		}
		catch (RejectedExecutionException ex) {
			LOG.atDebug().addKeyValue("event", "ticket_poll_stopped").log();
		}
	}

	private void readSnapshot() {
		if (this.snapshotRead || appliedNumber() > 0) {
			return;
		}
		try {
			this.snapshots.read().ifPresent(this.log::startFromSnapshot);
			this.snapshotRead = true;
		}
		catch (StoreException ex) {
			// The snapshot is optional: the tickets hold the full configuration, and the
			// table service may be available although the object store is not.
			LOG.atWarn().addKeyValue("event", "snapshot_read_failed").addKeyValue("reason", ex.getMessage()).log();
		}
	}

	@Override
	public long appliedNumber() {
		return this.configuration.current().appliedNumber();
	}

	@Override
	public void report(String peer, long number, long nowNanos) {
		this.acknowledgements.report(peer, number, nowNanos);
		this.startBarrier.report(peer, number);
		if (number > appliedNumber()) {
			offer((now) -> this.sync.onHigherNumber(peer, number, now));
		}
	}

	@Override
	public void remove(String peer) {
		this.acknowledgements.remove(peer);
	}

	@Override
	public void close() {
		this.poller.shutdownNow();
		this.snapshotWriter.shutdownNow();
		this.duty.close();
	}

}
