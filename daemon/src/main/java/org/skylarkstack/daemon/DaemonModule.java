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
import org.skylarkstack.limit.LendingTeamLimiter;
import org.skylarkstack.limit.LendingTerms;
import org.skylarkstack.membership.HttpPlatformVmList;
import org.skylarkstack.membership.Member;
import org.skylarkstack.membership.MembershipService;
import org.skylarkstack.membership.MembershipTerms;
import org.skylarkstack.misc.TimeSource;
import org.skylarkstack.peer.PeerCodec;
import org.skylarkstack.peer.TcpPeerTransport;
import org.skylarkstack.peer.TransportBounds;
import org.skylarkstack.request.RequestPipeline;
import org.skylarkstack.schedule.LocalPlacer;
import org.skylarkstack.schedule.Placer;
import org.skylarkstack.settings.DaemonSettings;
import org.skylarkstack.settings.PeerSettings;
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

	private static long periodNanos(DaemonSettings settings) {
		return MembershipTerms.DEFAULT.periodNanos(settings.peers().size() + 1);
	}

	@Provides
	@Singleton
	static PluginRegistry plugins() {
		return PluginRegistry.load();
	}

	@Provides
	@Singleton
	static TcpPeerTransport peerTransport(DaemonSettings settings, PluginRegistry plugins) {
		return new TcpPeerTransport(settings.vmId(), settings.peerAddress(), settings.peers(), settings.sharedSecret(),
				new PeerCodec(plugins), TransportBounds.forPeriod(periodNanos(settings)), TimeSource.system(),
				new SplittableRandom());
	}

	@Provides
	@Singleton
	static MembershipService membership(DaemonSettings settings, TcpPeerTransport transport,
			ConfigurationHolder configuration) {
		Member self = new Member(settings.vmId(), new SecureRandom().nextLong(), settings.dataCentre(), false);
		return new MembershipService(self, settings.peers().stream().map(PeerSettings::vmId).toList(),
				MembershipTerms.DEFAULT, transport, new HttpPlatformVmList(settings.platform()),
				() -> configuration.current().appliedNumber(), TimeSource.system());
	}

	@Provides
	@Singleton
	static LendingTeamLimiter limiter(DaemonSettings settings, MembershipService membership, TcpPeerTransport transport,
			TableStore store, ConfigurationHolder configuration) {
		LendingTerms terms = LendingTerms.forPeriod(periodNanos(settings));
		return new LendingTeamLimiter(settings.vmId(), settings.slotCount(), terms, membership, transport, store,
				configuration, TimeSource.system(), new SecureRandom());
	}

	@Provides
	@Singleton
	static Placer placer(ConfigurationHolder configuration) {
		return new LocalPlacer(configuration);
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
	static RequestPipeline pipeline(DaemonSettings settings, MembershipService membership,
			ConfigurationHolder configuration, LendingTeamLimiter limiter, Placer placer, EngineClient engines) {
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
