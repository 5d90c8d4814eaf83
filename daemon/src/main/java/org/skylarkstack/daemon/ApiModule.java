package org.skylarkstack.daemon;

import dagger.Module;
import dagger.Provides;
import jakarta.inject.Singleton;
import org.skylarkstack.configuration.AcknowledgementTable;
import org.skylarkstack.configuration.ConfigurationHolder;
import org.skylarkstack.configuration.KeyFreshness;
import org.skylarkstack.configuration.TicketLog;
import org.skylarkstack.engine.BackendClients;
import org.skylarkstack.http.Authenticator;
import org.skylarkstack.http.CallerApi;
import org.skylarkstack.http.CallerDisconnectMonitor;
import org.skylarkstack.http.IdempotencyKeyHandler;
import org.skylarkstack.http.OperatorApi;
import org.skylarkstack.http.ServiceApi;
import org.skylarkstack.metrics.RouterMetrics;
import org.skylarkstack.misc.TimeSource;
import org.skylarkstack.request.BackendServerSelector;
import org.skylarkstack.request.IdempotencyClaims;
import org.skylarkstack.request.OpenRequests;
import org.skylarkstack.request.RequestIds;
import org.skylarkstack.request.RequestPipeline;
import org.skylarkstack.request.RetryBudget;
import org.skylarkstack.request.RetryPolicy;
import org.skylarkstack.request.ServiceProxy;
import org.skylarkstack.request.ShutdownAdmission;
import org.skylarkstack.request.ShutdownSequence;
import org.skylarkstack.settings.DaemonSettings;

/**
 * Provides the HTTP APIs and the metrics.
 */
@Module
final class ApiModule {

	private ApiModule() {
	}

	@Provides
	@Singleton
	static RouterMetrics metrics(DaemonSettings settings) {
		return new RouterMetrics(settings.dataCentre());
	}

	@Provides
	@Singleton
	static Authenticator authenticator(ConfigurationHolder configuration, KeyFreshness freshness, TimeSource time) {
		return new Authenticator(configuration, freshness, time);
	}

	@Provides
	@Singleton
	static IdempotencyKeyHandler idempotencyKeyHandler(IdempotencyClaims claims, RequestIds ids) {
		return new IdempotencyKeyHandler(claims, ids);
	}

	@Provides
	@Singleton
	static CallerDisconnectMonitor callerDisconnectMonitor() {
		return new CallerDisconnectMonitor();
	}

	@Provides
	@Singleton
	static ServiceApi serviceApi(DaemonSettings settings, ConfigurationHolder configuration,
			Authenticator authenticator, OpenRequests openRequests, CallerDisconnectMonitor disconnectMonitor,
			IdempotencyKeyHandler idempotencyKeyHandler, BackendClients clients, RetryBudget retryBudget,
			ShutdownAdmission shutdownAdmission, RouterMetrics metrics, TimeSource time) {
		ServiceProxy proxy = new ServiceProxy(configuration, clients, new BackendServerSelector(settings.dataCentre()),
				retryBudget, new RetryPolicy(retryBudget), shutdownAdmission,
				settings.backendTimeouts().serviceIdleMillis(), time);
		return new ServiceApi(configuration, authenticator, openRequests, disconnectMonitor, idempotencyKeyHandler,
				proxy, settings.callerLimits(), metrics, time);
	}

	@Provides
	@Singleton
	static CallerApi callerApi(DaemonSettings settings, ConfigurationHolder configuration, Authenticator authenticator,
			RequestPipeline pipeline, ServiceApi services, OpenRequests openRequests,
			CallerDisconnectMonitor disconnectMonitor, IdempotencyKeyHandler idempotencyKeyHandler,
			ShutdownSequence shutdown, RouterMetrics metrics, TimeSource time) {
		return new CallerApi(configuration, authenticator, pipeline, services, openRequests, disconnectMonitor,
				idempotencyKeyHandler, settings.callerLimits(), metrics, time, () -> shutdown.phase().ready());
	}

	@Provides
	@Singleton
	static OperatorApi operatorApi(DaemonSettings settings, Authenticator authenticator, TicketLog tickets,
			ConfigurationHolder configuration, AcknowledgementTable acknowledgements, KeyFreshness freshness,
			TimeSource time) {
		return new OperatorApi(authenticator, tickets, configuration, acknowledgements, freshness, time,
				settings.operatorKeyHash());
	}

}
