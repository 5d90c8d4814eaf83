package org.skylarkstack.daemon;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.SplittableRandom;

import dagger.Module;
import dagger.Provides;
import jakarta.inject.Singleton;
import okhttp3.OkHttpClient;
import org.skylarkstack.configuration.ConfigurationHolder;
import org.skylarkstack.configuration.TicketLog;
import org.skylarkstack.engine.EngineClient;
import org.skylarkstack.engine.HttpEngineClient;
import org.skylarkstack.http.Authenticator;
import org.skylarkstack.http.CallerApi;
import org.skylarkstack.http.OperatorApi;
import org.skylarkstack.kernel.PluginRegistry;
import org.skylarkstack.limit.LocalTeamLimiter;
import org.skylarkstack.limit.TeamLimiter;
import org.skylarkstack.membership.Membership;
import org.skylarkstack.misc.TimeSource;
import org.skylarkstack.peer.PeerTransport;
import org.skylarkstack.request.RequestPipeline;
import org.skylarkstack.schedule.LoadPolling;
import org.skylarkstack.schedule.PlacementPolicy;
import org.skylarkstack.schedule.Placer;
import org.skylarkstack.schedule.SoftOwnerPlacer;
import org.skylarkstack.settings.DaemonSettings;
import org.skylarkstack.store.DynamoTableStore;
import org.skylarkstack.store.TableStore;

/**
 * Provides the parts of a daemon.
 */
@Module
final class DaemonModule {

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
	static Membership membership(DaemonSettings settings) {
		return new SingleMembership(settings.vmId(), settings.dataCentre(), new SecureRandom().nextLong());
	}

	@Provides
	@Singleton
	static PeerTransport peers(DaemonSettings settings) {
		return new SelfPeerTransport(settings.vmId());
	}

	@Provides
	@Singleton
	static PluginRegistry plugins() {
		return PluginRegistry.load();
	}

	@Provides
	@Singleton
	static SoftOwnerPlacer softOwnerPlacer(DaemonSettings settings, Membership membership, PeerTransport peers,
			ConfigurationHolder configuration, PluginRegistry plugins) {
		return new SoftOwnerPlacer(settings.vmId(), membership, peers, configuration,
				() -> plugins.create(PlacementPolicy.class, settings.placementPolicy()),
				new SplittableRandom(membership.incarnation()), TimeSource.system());
	}

	@Provides
	@Singleton
	static Placer placer(SoftOwnerPlacer placer) {
		return placer;
	}

	@Provides
	@Singleton
	static LoadPolling loadPolling(ConfigurationHolder configuration, EngineClient engines, SoftOwnerPlacer placer) {
		return new LoadPolling(configuration, engines, placer, TimeSource.system());
	}

	@Provides
	@Singleton
	static EngineClient engines(DaemonSettings settings) {
		OkHttpClient base = new OkHttpClient.Builder().retryOnConnectionFailure(false)
			.connectTimeout(Duration.ofMillis(settings.backendTimeouts().connectMillis()))
			.build();
		return new HttpEngineClient(base, settings.backendTimeouts());
	}

	@Provides
	@Singleton
	static RequestPipeline pipeline(DaemonSettings settings, Membership membership, ConfigurationHolder configuration,
			TeamLimiter limiter, Placer placer, EngineClient engines) {
		return new RequestPipeline(settings.vmId(), membership.incarnation(), configuration, limiter, placer, engines,
				TimeSource.system());
	}

	@Provides
	@Singleton
	static Authenticator authenticator(ConfigurationHolder configuration) {
		return new Authenticator(configuration);
	}

	@Provides
	@Singleton
	static CallerApi callerApi(ConfigurationHolder configuration, Authenticator authenticator,
			RequestPipeline pipeline) {
		return new CallerApi(configuration, authenticator, pipeline);
	}

	@Provides
	@Singleton
	static OperatorApi operatorApi(DaemonSettings settings, Authenticator authenticator, TicketLog tickets,
			ConfigurationHolder configuration) {
		return new OperatorApi(authenticator, tickets, configuration, settings.operatorKeyHash());
	}

}
