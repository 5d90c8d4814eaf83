package org.skylarkstack.daemon;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import org.skylarkstack.http.CallerWatch;
import org.skylarkstack.membership.Membership;
import org.skylarkstack.misc.TimeSource;
import org.skylarkstack.request.ClaimRepairs;
import org.skylarkstack.request.EngineCanceller;
import org.skylarkstack.request.ExpiringRows;
import org.skylarkstack.request.HeldMemorySweeper;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Periodic tasks of the request path. Disconnect checks, calls to engines, cancel retries
 * and calls to the store each have a thread of their own.
 */
@Singleton
public final class RequestDuties implements AutoCloseable {

	private static final Logger LOG = LoggerFactory.getLogger(RequestDuties.class);

	private static final long CANCEL_MILLIS = 500;

	private static final long REPAIR_MILLIS = 1_000;

	private static final long SWEEP_MILLIS = 2_000;

	// With one page per VM and minute, 350 VMs cause about six reads per second.
	private static final long CLEAN_MILLIS = 60_000;

	private final CallerWatch watch;

	private final EngineCanceller canceller;

	private final ClaimRepairs repairs;

	private final HeldMemorySweeper sweeper;

	private final ExpiringRows expiringRows;

	private final Membership membership;

	private final ScheduledExecutorService watchDuty = duty("caller-watch");

	private final ScheduledExecutorService engineDuty = duty("held-sweep");

	private final ScheduledExecutorService cancelDuty = duty("cancel-retry");

	private final ScheduledExecutorService storeDuty = duty("claim-repair");

	/**
	 * Creates the tasks.
	 * @param watch cancels the requests of callers that have disconnected
	 * @param canceller retries cancels that engines have not confirmed
	 * @param repairs repeats claim writes that the store did not confirm
	 * @param sweeper frees engine memory that is held by dead daemons
	 * @param expiringRows deletes expired rows
	 * @param membership determines the partitions whose expired rows this VM deletes
	 */
	@Inject
	public RequestDuties(CallerWatch watch, EngineCanceller canceller, ClaimRepairs repairs, HeldMemorySweeper sweeper,
			ExpiringRows expiringRows, Membership membership) {
		this.watch = watch;
		this.canceller = canceller;
		this.repairs = repairs;
		this.sweeper = sweeper;
		this.expiringRows = expiringRows;
		this.membership = membership;
	}

	private static ScheduledExecutorService duty(String name) {
		return Executors.newSingleThreadScheduledExecutor((task) -> {
			Thread thread = new Thread(task, name);
			thread.setDaemon(true);
			return thread;
		});
	}

	void start() {
		repeat(this.watchDuty, CallerWatch.PERIOD_MILLIS, this.watch::check);
		repeat(this.cancelDuty, CANCEL_MILLIS, this.canceller::retry);
		repeat(this.engineDuty, SWEEP_MILLIS, this.sweeper::sweep);
		repeat(this.storeDuty, REPAIR_MILLIS, () -> this.repairs.step(TimeSource.system().nanos()));
		repeat(this.storeDuty, CLEAN_MILLIS, this::clean);
	}

	private static void repeat(ScheduledExecutorService executor, long periodMillis, Runnable step) {
		executor.scheduleWithFixedDelay(() -> {
			try {
				step.run();
			}
			catch (RuntimeException ex) {
				LOG.atError().addKeyValue("event", "duty_failed").setCause(ex).log();
			}
		}, periodMillis, periodMillis, TimeUnit.MILLISECONDS);
	}

	private void clean() {
		String self = this.membership.view().self();
		this.expiringRows.step((partition) -> this.membership.view().softOwner(partition).equals(self),
				TimeSource.system().epochMillis());
	}

	/**
	 * Stops without another call to the store or an engine, as if the process had died.
	 */
	void kill() {
		stopThreads();
		this.canceller.abandon();
	}

	private void stopThreads() {
		this.watchDuty.shutdownNow();
		this.engineDuty.shutdownNow();
		this.storeDuty.shutdownNow();
		this.cancelDuty.shutdownNow();
	}

	@Override
	public void close() {
		stopThreads();
		this.repairs.step(TimeSource.system().nanos());
		this.canceller.close();
	}

}
