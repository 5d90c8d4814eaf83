package org.skylarkstack.daemon;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import org.skylarkstack.http.CallerDisconnectMonitor;
import org.skylarkstack.membership.Membership;
import org.skylarkstack.misc.TimeSource;
import org.skylarkstack.request.ClaimWriteRetryQueue;
import org.skylarkstack.request.EngineCanceller;
import org.skylarkstack.request.ExpiredRowCleaner;
import org.skylarkstack.request.HeldMemorySweeper;
import org.skylarkstack.request.IdempotencyClaims;
import org.skylarkstack.store.StoreException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Periodic tasks of the request path. Disconnect checks, sweeps of engine memory, cancel
 * retries and store maintenance run on a thread each.
 */
@Singleton
public final class RequestDuties implements AutoCloseable {

	private static final Logger LOG = LoggerFactory.getLogger(RequestDuties.class);

	private static final long CANCEL_RETRY_PERIOD_MILLIS = 500;

	private static final long CLAIM_WRITE_RETRY_PERIOD_MILLIS = 1_000;

	// One read per period while this VM has recent claims: 175 reads/s with 350 VMs.
	private static final long CLAIM_CHECK_PERIOD_MILLIS = 2_000;

	private static final long ENGINE_SWEEP_PERIOD_MILLIS = 2_000;

	// With one page per VM and minute, 350 VMs cause about six store reads per second.
	private static final long EXPIRED_ROW_PERIOD_MILLIS = 60_000;

	private final CallerDisconnectMonitor disconnectMonitor;

	private final EngineCanceller canceller;

	private final ClaimWriteRetryQueue claimWriteRetryQueue;

	private final IdempotencyClaims claims;

	private final HeldMemorySweeper sweeper;

	private final ExpiredRowCleaner expiredRowCleaner;

	private final Membership membership;

	private final ScheduledExecutorService disconnectExecutor = newExecutor("caller-watch");

	private final ScheduledExecutorService sweepExecutor = newExecutor("held-sweep");

	private final ScheduledExecutorService cancelExecutor = newExecutor("cancel-retry");

	private final ScheduledExecutorService storeExecutor = newExecutor("claim-repair");

	/**
	 * Creates the tasks.
	 * @param disconnectMonitor cancels the requests of callers that have disconnected
	 * @param canceller retries cancels that engines have not confirmed
	 * @param claimWriteRetryQueue repeats claim writes that the store did not confirm
	 * @param claims writes claims again that the store has lost
	 * @param sweeper frees engine memory that is held by dead daemons
	 * @param expiredRowCleaner deletes expired rows
	 * @param membership determines the partitions whose expired rows this VM deletes
	 */
	@Inject
	public RequestDuties(CallerDisconnectMonitor disconnectMonitor, EngineCanceller canceller,
			ClaimWriteRetryQueue claimWriteRetryQueue, IdempotencyClaims claims, HeldMemorySweeper sweeper,
			ExpiredRowCleaner expiredRowCleaner, Membership membership) {
		this.disconnectMonitor = disconnectMonitor;
		this.canceller = canceller;
		this.claimWriteRetryQueue = claimWriteRetryQueue;
		this.claims = claims;
		this.sweeper = sweeper;
		this.expiredRowCleaner = expiredRowCleaner;
		this.membership = membership;
	}

	private static ScheduledExecutorService newExecutor(String name) {
		return Executors.newSingleThreadScheduledExecutor((task) -> {
			Thread thread = new Thread(task, name);
			thread.setDaemon(true);
			return thread;
		});
	}

	void start() {
		schedule(this.disconnectExecutor, CallerDisconnectMonitor.PERIOD_MILLIS, this.disconnectMonitor::check);
		schedule(this.cancelExecutor, CANCEL_RETRY_PERIOD_MILLIS, this.canceller::retry);
		schedule(this.sweepExecutor, ENGINE_SWEEP_PERIOD_MILLIS, this.sweeper::sweep);
		schedule(this.storeExecutor, CLAIM_WRITE_RETRY_PERIOD_MILLIS,
				() -> this.claimWriteRetryQueue.step(TimeSource.system().nanos()));
		schedule(this.storeExecutor, CLAIM_CHECK_PERIOD_MILLIS, this::recoverClaims);
		schedule(this.storeExecutor, EXPIRED_ROW_PERIOD_MILLIS, this::deleteExpiredRows);
	}

	private static void schedule(ScheduledExecutorService executor, long periodMillis, Runnable task) {
		executor.scheduleWithFixedDelay(() -> {
			try {
				task.run();
			}
			catch (RuntimeException ex) {
				LOG.atError().addKeyValue("event", "duty_failed").setCause(ex).log();
			}
		}, periodMillis, periodMillis, TimeUnit.MILLISECONDS);
	}

	private void recoverClaims() {
		try {
			this.claims.recover(TimeSource.system().nanos());
		}
		catch (StoreException ex) {
			LOG.atWarn().addKeyValue("event", "claim_check_failed").addKeyValue("reason", ex.getMessage()).log();
		}
	}

	private void deleteExpiredRows() {
		String self = this.membership.view().self();
		this.expiredRowCleaner.step((partition) -> this.membership.view().softOwner(partition).equals(self),
				TimeSource.system().epochMillis());
	}

	/**
	 * Stops without another call to the store or an engine, as if the process had
	 * crashed.
	 */
	void kill() {
		stopThreads();
		this.canceller.stopNow();
	}

	private void stopThreads() {
		this.disconnectExecutor.shutdownNow();
		this.sweepExecutor.shutdownNow();
		this.storeExecutor.shutdownNow();
		this.cancelExecutor.shutdownNow();
	}

	@Override
	public void close() {
		stopThreads();
		this.claimWriteRetryQueue.step(TimeSource.system().nanos());
		this.canceller.close();
	}

}
