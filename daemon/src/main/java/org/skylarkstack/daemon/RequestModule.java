package org.skylarkstack.daemon;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import dagger.Module;
import dagger.Provides;
import jakarta.inject.Singleton;
import org.skylarkstack.configuration.ConfigurationHolder;
import org.skylarkstack.configuration.EngineNode;
import org.skylarkstack.configuration.ObjectKind;
import org.skylarkstack.engine.BackendClients;
import org.skylarkstack.engine.EngineClient;
import org.skylarkstack.engine.HttpEngineClient;
import org.skylarkstack.limit.TeamLimiter;
import org.skylarkstack.membership.Membership;
import org.skylarkstack.misc.TimeSource;
import org.skylarkstack.peer.PeerTransport;
import org.skylarkstack.request.Claim;
import org.skylarkstack.request.ClaimWriteRetryQueue;
import org.skylarkstack.request.CrashReporter;
import org.skylarkstack.request.CrashSuspects;
import org.skylarkstack.request.EngineCanceller;
import org.skylarkstack.request.EngineQuarantine;
import org.skylarkstack.request.ExpiredRowCleaner;
import org.skylarkstack.request.HeldMemorySweeper;
import org.skylarkstack.request.IdempotencyClaims;
import org.skylarkstack.request.OpenRequests;
import org.skylarkstack.request.RequestComponents;
import org.skylarkstack.request.RequestCounters;
import org.skylarkstack.request.RequestIds;
import org.skylarkstack.request.RequestPipeline;
import org.skylarkstack.request.RetryBudget;
import org.skylarkstack.request.RetryPolicy;
import org.skylarkstack.request.ShutdownAdmission;
import org.skylarkstack.request.ShutdownSequence;
import org.skylarkstack.request.SuspectRunGrants;
import org.skylarkstack.schedule.Placer;
import org.skylarkstack.settings.BackendTimeouts;
import org.skylarkstack.settings.DaemonSettings;
import org.skylarkstack.store.TableStore;

/**
 * Provides the components of the request path.
 */
@Module
final class RequestModule {

	/** Time for which a request is kept as a crash suspect. */
	private static final Duration CRASH_SUSPECT_RETENTION = Duration.ofMinutes(10);

	/** Timeout for sending errors to the remaining callers at the end of a shutdown. */
	private static final Duration END_TIMEOUT = Duration.ofSeconds(2);

	private RequestModule() {
	}

	@Provides
	@Singleton
	static BackendClients backendClients(DaemonSettings settings) {
		return new BackendClients(settings.backendTimeouts().connectMillis());
	}

	@Provides
	@Singleton
	static HttpEngineClient httpEngines(DaemonSettings settings, BackendClients clients) {
		return new HttpEngineClient(clients, settings.backendTimeouts());
	}

	@Provides
	@Singleton
	static EngineClient engines(HttpEngineClient engines) {
		return engines;
	}

	@Provides
	@Singleton
	static RequestIds requestIds(DaemonSettings settings, Membership membership) {
		return new RequestIds(settings.vmId(), membership.incarnation());
	}

	@Provides
	@Singleton
	static OpenRequests openRequests(DaemonSettings settings, ConfigurationHolder configuration) {
		return new OpenRequests(settings.callerLimits().maxOpenRequests(), configuration);
	}

	@Provides
	@Singleton
	static EngineCanceller canceller(EngineClient engines, ConfigurationHolder configuration, TimeSource time) {
		return new EngineCanceller(engines,
				(id) -> configuration.current().find(EngineNode.class, ObjectKind.ENGINE, id), time);
	}

	@Provides
	@Singleton
	static HeldMemorySweeper sweeper(EngineClient engines, ConfigurationHolder configuration, Membership membership,
			EngineCanceller canceller) {
		return new HeldMemorySweeper(engines, configuration, membership, membership::isDead, canceller);
	}

	@Provides
	@Singleton
	static RetryBudget retryBudget(TimeSource time) {
		return new RetryBudget(time.nanos());
	}

	@Provides
	@Singleton
	static CrashSuspects crashSuspects() {
		return new CrashSuspects(CRASH_SUSPECT_RETENTION.toNanos());
	}

	@Provides
	@Singleton
	static CrashReporter crashReporter(CrashSuspects suspects, OpenRequests openRequests, Membership membership,
			PeerTransport transport, TimeSource time) {
		return new CrashReporter(suspects, openRequests, membership, transport, time);
	}

	@Provides
	@Singleton
	static RequestCounters requestCounters() {
		return new RequestCounters();
	}

	@Provides
	@Singleton
	static RequestComponents requestComponents(DaemonSettings settings, RequestIds ids,
			ConfigurationHolder configuration, TeamLimiter limiter, Placer placer, EngineClient engines,
			EngineCanceller canceller, RetryBudget retryBudget, CrashSuspects suspects, CrashReporter crashReporter,
			ShutdownAdmission shutdownAdmission, TableStore store, RequestCounters counters, TimeSource time) {
		return new RequestComponents(settings.vmId(), ids, configuration, limiter, placer, engines, canceller,
				new EngineQuarantine(), retryBudget, new RetryPolicy(retryBudget), suspects,
				new SuspectRunGrants(store, CRASH_SUSPECT_RETENTION.toMillis()), crashReporter, shutdownAdmission,
				counters, time);
	}

	@Provides
	@Singleton
	static RequestPipeline pipeline(RequestComponents components) {
		return new RequestPipeline(components);
	}

	@Provides
	@Singleton
	static ClaimWriteRetryQueue claimWriteRetryQueue(TableStore store) {
		return new ClaimWriteRetryQueue(store);
	}

	@Provides
	@Singleton
	static IdempotencyClaims claims(TableStore store, ClaimWriteRetryQueue claimWriteRetryQueue, TimeSource time) {
		return new IdempotencyClaims(store, claimWriteRetryQueue, time);
	}

	@Provides
	@Singleton
	static ExpiredRowCleaner expiredRowCleaner(TableStore store) {
		List<String> partitions = new ArrayList<>(List.of(SuspectRunGrants.PARTITION));
		IntStream.range(0, Claim.PARTITIONS).mapToObj(Claim::partition).forEach(partitions::add);
		return new ExpiredRowCleaner(store, partitions);
	}

	@Provides
	@Singleton
	static ShutdownSequence shutdownSequence(DaemonSettings settings) {
		BackendTimeouts timeouts = settings.backendTimeouts();
		return new ShutdownSequence(Duration.ofMillis(timeouts.balancerReleaseMillis()).toNanos(),
				Duration.ofMillis(timeouts.drainMillis()).toNanos(), END_TIMEOUT.toNanos());
	}

	@Provides
	@Singleton
	static ShutdownAdmission shutdownAdmission(ShutdownSequence shutdown) {
		return new ShutdownAdmission(shutdown);
	}

}
