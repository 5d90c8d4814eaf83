package org.skylarkstack.daemon;

import java.security.SecureRandom;
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
import org.skylarkstack.configuration.TicketLog;
import org.skylarkstack.engine.BackendClients;
import org.skylarkstack.engine.EngineClient;
import org.skylarkstack.engine.HttpEngineClient;
import org.skylarkstack.http.Authenticator;
import org.skylarkstack.http.CallerApi;
import org.skylarkstack.http.CallerWatch;
import org.skylarkstack.http.ClaimGate;
import org.skylarkstack.http.OperatorApi;
import org.skylarkstack.http.ServiceApi;
import org.skylarkstack.limit.LocalTeamLimiter;
import org.skylarkstack.limit.TeamLimiter;
import org.skylarkstack.membership.Membership;
import org.skylarkstack.misc.TimeSource;
import org.skylarkstack.peer.PeerTransport;
import org.skylarkstack.request.Claim;
import org.skylarkstack.request.ClaimRepairs;
import org.skylarkstack.request.CrashReporter;
import org.skylarkstack.request.CrashSuspects;
import org.skylarkstack.request.DeadIncarnations;
import org.skylarkstack.request.EngineCanceller;
import org.skylarkstack.request.EngineQuarantine;
import org.skylarkstack.request.ExpiringRows;
import org.skylarkstack.request.HeldMemorySweeper;
import org.skylarkstack.request.IdempotencyClaims;
import org.skylarkstack.request.OpenRequests;
import org.skylarkstack.request.RequestCounters;
import org.skylarkstack.request.RequestIds;
import org.skylarkstack.request.RequestParts;
import org.skylarkstack.request.RequestPipeline;
import org.skylarkstack.request.RetryBudget;
import org.skylarkstack.request.RetryPolicy;
import org.skylarkstack.request.ServiceProxy;
import org.skylarkstack.request.ServiceTargets;
import org.skylarkstack.request.ShutdownSequence;
import org.skylarkstack.request.SuspectRuns;
import org.skylarkstack.schedule.LocalPlacer;
import org.skylarkstack.schedule.Placer;
import org.skylarkstack.settings.BackendTimeouts;
import org.skylarkstack.settings.DaemonSettings;
import org.skylarkstack.store.DynamoTableStore;
import org.skylarkstack.store.TableStore;

/**
 * Provides the parts of a daemon.
 */
@Module
final class DaemonModule {

	/** How long a request stays a crash suspect. */
	private static final Duration SUSPECT_TERM = Duration.ofMinutes(10);

	/** Bound for telling the remaining callers at the end of a shutdown. */
	private static final Duration END_BOUND = Duration.ofSeconds(2);

	private DaemonModule() {
	}

	@Provides
	@Singleton
	static ConfigurationHolder configuration() {
		return new ConfigurationHolder();
	}

	@Provides
	@Singleton
	static TableStore tableStore(DaemonSettings settings) {
		return new DynamoTableStore(settings.platform());
	}

	@Provides
	@Singleton
	static TicketLog tickets(TableStore store, ConfigurationHolder configuration) {
		return new TicketLog(store, configuration);
	}

	@Provides
	@Singleton
	static TeamLimiter limiter(DaemonSettings settings) {
		return new LocalTeamLimiter(1.0 / settings.slotCount());
	}

	@Provides
	@Singleton
	static Placer placer(ConfigurationHolder configuration) {
		return new LocalPlacer(configuration);
	}

	@Provides
	@Singleton
	static Membership membership(DaemonSettings settings) {
		return SingleMembership.of(settings.vmId(), settings.dataCentre(), new SecureRandom().nextLong());
	}

	@Provides
	@Singleton
	static PeerTransport transport() {
		return new DroppingTransport();
	}

	@Provides
	@Singleton
	static DeadIncarnations deadIncarnations() {
		return (vmId, incarnation) -> false;
	}

	@Provides
	@Singleton
	static BackendClients backendClients(DaemonSettings settings) {
		return new BackendClients(settings.backendTimeouts().connectMillis());
	}

	@Provides
	@Singleton
	static EngineClient engines(DaemonSettings settings, BackendClients clients) {
		return new HttpEngineClient(clients, settings.backendTimeouts());
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
	static EngineCanceller canceller(EngineClient engines, ConfigurationHolder configuration) {
		return new EngineCanceller(engines,
				(id) -> configuration.current().find(EngineNode.class, ObjectKind.ENGINE, id), TimeSource.system());
	}

	@Provides
	@Singleton
	static HeldMemorySweeper sweeper(EngineClient engines, ConfigurationHolder configuration, Membership membership,
			DeadIncarnations dead, EngineCanceller canceller) {
		return new HeldMemorySweeper(engines, configuration, membership, dead, canceller);
	}

	@Provides
	@Singleton
	static RetryBudget retryBudget() {
		return new RetryBudget(TimeSource.system().nanos());
	}

	@Provides
	@Singleton
	static CrashSuspects crashSuspects() {
		return new CrashSuspects(SUSPECT_TERM.toNanos());
	}

	@Provides
	@Singleton
	static CrashReporter crashReporter(CrashSuspects suspects, OpenRequests openRequests, Membership membership,
			PeerTransport transport) {
		return new CrashReporter(suspects, openRequests, membership, transport, TimeSource.system());
	}

	@Provides
	@Singleton
	static RequestParts requestParts(DaemonSettings settings, RequestIds ids, ConfigurationHolder configuration,
			TeamLimiter limiter, Placer placer, EngineClient engines, EngineCanceller canceller,
			RetryBudget retryBudget, CrashSuspects suspects, CrashReporter crashReporter, TableStore store) {
		return new RequestParts(settings.vmId(), ids, configuration, limiter, placer, engines, canceller,
				new EngineQuarantine(), retryBudget, new RetryPolicy(retryBudget), suspects,
				new SuspectRuns(store, SUSPECT_TERM.toMillis()), crashReporter, new RequestCounters(),
				TimeSource.system());
	}

	@Provides
	@Singleton
	static RequestPipeline pipeline(RequestParts parts) {
		return new RequestPipeline(parts);
	}

	@Provides
	@Singleton
	static ClaimRepairs claimRepairs(TableStore store) {
		return new ClaimRepairs(store);
	}

	@Provides
	@Singleton
	static ExpiringRows expiringRows(TableStore store) {
		List<String> partitions = new ArrayList<>(List.of(SuspectRuns.PARTITION));
		IntStream.range(0, Claim.PARTITIONS).mapToObj(Claim::partition).forEach(partitions::add);
		return new ExpiringRows(store, partitions);
	}

	@Provides
	@Singleton
	static ClaimGate claimGate(TableStore store, ClaimRepairs repairs, RequestIds ids) {
		return new ClaimGate(new IdempotencyClaims(store, repairs, TimeSource.system()), ids);
	}

	@Provides
	@Singleton
	static ServiceApi serviceApi(DaemonSettings settings, ConfigurationHolder configuration,
			Authenticator authenticator, OpenRequests openRequests, CallerWatch watch, ClaimGate claims,
			BackendClients clients, RetryBudget retryBudget) {
		ServiceProxy proxy = new ServiceProxy(configuration, clients, new ServiceTargets(settings.dataCentre()),
				retryBudget, new RetryPolicy(retryBudget), settings.backendTimeouts().serviceIdleMillis(),
				TimeSource.system());
		return new ServiceApi(configuration, authenticator, openRequests, watch, claims, proxy, settings.callerLimits(),
				TimeSource.system());
	}

	@Provides
	@Singleton
	static CallerWatch callerWatch() {
		return new CallerWatch();
	}

	@Provides
	@Singleton
	static ShutdownSequence shutdownSequence(DaemonSettings settings) {
		BackendTimeouts timeouts = settings.backendTimeouts();
		return new ShutdownSequence(Duration.ofMillis(timeouts.balancerReleaseMillis()).toNanos(),
				Duration.ofMillis(timeouts.drainMillis()).toNanos(), END_BOUND.toNanos());
	}

	@Provides
	@Singleton
	static Authenticator authenticator(ConfigurationHolder configuration) {
		return new Authenticator(configuration);
	}

	@Provides
	@Singleton
	static CallerApi callerApi(DaemonSettings settings, ConfigurationHolder configuration, Authenticator authenticator,
			RequestPipeline pipeline, ServiceApi services, OpenRequests openRequests, CallerWatch watch,
			ClaimGate claims, ShutdownSequence shutdown) {
		return new CallerApi(configuration, authenticator, pipeline, services, openRequests, watch, claims,
				settings.callerLimits(), TimeSource.system(), () -> shutdown.phase().ready());
	}

	@Provides
	@Singleton
	static OperatorApi operatorApi(DaemonSettings settings, Authenticator authenticator, TicketLog tickets,
			ConfigurationHolder configuration) {
		return new OperatorApi(authenticator, tickets, configuration, settings.operatorKeyHash());
	}

}
