package org.skylarkstack.daemon;

import java.security.SecureRandom;
import java.time.Duration;
import java.util.SplittableRandom;

import dagger.Module;
import dagger.Provides;
import jakarta.inject.Singleton;
import okhttp3.OkHttpClient;
import org.skylarkstack.configuration.AppliedNumbers;
import org.skylarkstack.configuration.ConfigurationDuty;
import org.skylarkstack.configuration.ConfigurationHolder;
import org.skylarkstack.configuration.ConfirmationTable;
import org.skylarkstack.configuration.KeyFreshness;
import org.skylarkstack.configuration.SnapshotKeeper;
import org.skylarkstack.configuration.TicketLog;
import org.skylarkstack.configuration.TicketSync;
import org.skylarkstack.engine.EngineClient;
import org.skylarkstack.engine.HttpEngineClient;
import org.skylarkstack.http.Authenticator;
import org.skylarkstack.http.CallerApi;
import org.skylarkstack.http.OperatorApi;
import org.skylarkstack.limit.LocalTeamLimiter;
import org.skylarkstack.limit.TeamLimiter;
import org.skylarkstack.membership.Membership;
import org.skylarkstack.misc.TimeSource;
import org.skylarkstack.peer.PeerTransport;
import org.skylarkstack.request.RequestPipeline;
import org.skylarkstack.schedule.LocalPlacer;
import org.skylarkstack.schedule.Placer;
import org.skylarkstack.settings.DaemonSettings;
import org.skylarkstack.settings.PeerSettings;
import org.skylarkstack.store.DynamoTableStore;
import org.skylarkstack.store.ObjectStore;
import org.skylarkstack.store.S3ObjectStore;
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
	static ObjectStore objectStore(DaemonSettings settings) {
		return new S3ObjectStore(settings.platform());
	}

	@Provides
	@Singleton
	static Membership membership(DaemonSettings settings) {
		return new SoleMembership(settings.vmId(), settings.dataCentre());
	}

	@Provides
	@Singleton
	static PeerTransport transport() {
		return new DroppingTransport();
	}

	@Provides
	@Singleton
	static KeyFreshness freshness(ConfigurationHolder configuration) {
		return new KeyFreshness(configuration);
	}

	@Provides
	@Singleton
	static ConfirmationTable confirmations(DaemonSettings settings) {
		ConfirmationTable confirmations = new ConfirmationTable();
		confirmations.expect(settings.peers().stream().map(PeerSettings::vmId).toList());
		return confirmations;
	}

	@Provides
	@Singleton
	static ConfigurationDuty configurationDuty(DaemonSettings settings, TicketLog tickets, ObjectStore objects,
			ConfigurationHolder configuration, KeyFreshness freshness, ConfirmationTable confirmations,
			Membership membership, PeerTransport transport) {
		TicketSync sync = new TicketSync(configuration, freshness, membership, transport, new SplittableRandom());
		return new ConfigurationDuty(settings.vmId(), tickets, new SnapshotKeeper(objects, configuration, membership),
				freshness, configuration, confirmations, sync, TimeSource.system(), new SplittableRandom());
	}

	@Provides
	@Singleton
	static AppliedNumbers appliedNumbers(ConfigurationDuty duty) {
		return duty;
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
	static EngineClient engines(DaemonSettings settings) {
		OkHttpClient base = new OkHttpClient.Builder().retryOnConnectionFailure(false)
			.connectTimeout(Duration.ofMillis(settings.backendTimeouts().connectMillis()))
			.build();
		return new HttpEngineClient(base, settings.backendTimeouts());
	}

	@Provides
	@Singleton
	static RequestPipeline pipeline(DaemonSettings settings, ConfigurationHolder configuration, TeamLimiter limiter,
			Placer placer, EngineClient engines) {
		return new RequestPipeline(settings.vmId(), new SecureRandom().nextLong(), configuration, limiter, placer,
				engines, TimeSource.system());
	}

	@Provides
	@Singleton
	static Authenticator authenticator(ConfigurationHolder configuration, KeyFreshness freshness) {
		return new Authenticator(configuration, freshness, TimeSource.system());
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
			ConfigurationHolder configuration, ConfirmationTable confirmations, KeyFreshness freshness) {
		return new OperatorApi(authenticator, tickets, configuration, confirmations, freshness, TimeSource.system(),
				settings.operatorKeyHash());
	}

}
