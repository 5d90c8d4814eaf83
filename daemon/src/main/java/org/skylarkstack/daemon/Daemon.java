package org.skylarkstack.daemon;

import java.util.List;

import io.javalin.Javalin;
import io.javalin.util.JavalinException;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Connector;
import org.skylarkstack.http.CallerApi;
import org.skylarkstack.http.OperatorApi;
import org.skylarkstack.membership.MembershipService;
import org.skylarkstack.metrics.RouterMetrics;
import org.skylarkstack.peer.TcpPeerTransport;
import org.skylarkstack.request.OpenRequests;
import org.skylarkstack.request.ShutdownAdmission;
import org.skylarkstack.request.ShutdownSequence;
import org.skylarkstack.settings.DaemonSettings;
import org.skylarkstack.settings.ListenAddress;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Router daemon of one VM, with its HTTP servers and background services.
 */
@Singleton
public final class Daemon implements AutoCloseable {

	private static final Logger LOG = LoggerFactory.getLogger(Daemon.class);

	private static final long SHUTDOWN_POLL_MILLIS = 20;

	private static final int MAX_END_POLLS = 50;

	private final DaemonSettings settings;

	private final CallerApi callerApi;

	private final OperatorApi operatorApi;

	private final FleetServices fleetServices;

	private final RequestDuties requestDuties;

	private final ShutdownSequence shutdown;

	private final ShutdownAdmission shutdownAdmission;

	private final OpenRequests openRequests;

	private final DaemonMetrics metrics;

	private final Javalin callerServer;

	private final Javalin operatorServer;

	/**
	 * Creates a daemon without starting it; use {@link #start(DaemonSettings)}.
	 * @param settings the settings
	 * @param callerApi the API for callers
	 * @param operatorApi the API for operators
	 * @param fleetServices the services that coordinate this daemon with its peers
	 * @param requestDuties the periodic tasks of the request path
	 * @param shutdown the phases of a graceful shutdown
	 * @param shutdownAdmission refuses work that a shutdown would end
	 * @param openRequests the open requests of callers
	 * @param metrics the metrics
	 */
	@Inject
	Daemon(DaemonSettings settings, CallerApi callerApi, OperatorApi operatorApi, FleetServices fleetServices,
			RequestDuties requestDuties, ShutdownSequence shutdown, ShutdownAdmission shutdownAdmission,
			OpenRequests openRequests, DaemonMetrics metrics) {
		this.settings = settings;
		this.callerApi = callerApi;
		this.operatorApi = operatorApi;
		this.fleetServices = fleetServices;
		this.requestDuties = requestDuties;
		this.shutdown = shutdown;
		this.shutdownAdmission = shutdownAdmission;
		this.openRequests = openRequests;
		this.metrics = metrics;
		this.callerServer = Javalin.create((config) -> {
			config.startup.showJavalinBanner = false;
			this.callerApi.register(config);
		});
		this.operatorServer = Javalin.create((config) -> {
			config.startup.showJavalinBanner = false;
			this.operatorApi.register(config);
			config.routes.get("/metrics", (context) -> context.contentType(RouterMetrics.CONTENT_TYPE)
				.result(this.metrics.metrics().scrape()));
		});
	}

	/**
	 * Starts a daemon.
	 * @param settings the settings
	 * @return the running daemon
	 */
	public static Daemon start(DaemonSettings settings) {
		Daemon daemon = DaggerDaemonComponent.factory().create(settings).daemon();
		daemon.run();
		return daemon;
	}

	private void run() {
		ListenAddress caller = this.settings.callerAddress();
		ListenAddress operator = this.settings.operatorAddress();
		this.fleetServices.start();
		this.requestDuties.start();
		this.callerServer.start(caller.host(), caller.port());
		this.operatorServer.start(operator.host(), operator.port());
		LOG.atInfo()
			.addKeyValue("event", "daemon_started")
			.addKeyValue("vm", this.settings.vmId())
			.addKeyValue("caller_port", callerPort())
			.addKeyValue("operator_port", operatorPort())
			.log();
	}

	/**
	 * Returns the port of the server for callers.
	 * @return the TCP port that is listened on
	 */
	public int callerPort() {
		return this.callerServer.port();
	}

	/**
	 * Returns the port of the server for operators.
	 * @return the TCP port that is listened on
	 */
	public int operatorPort() {
		return this.operatorServer.port();
	}

	/**
	 * Returns the peer transport, for its counters and for fault injection.
	 * @return the transport
	 */
	public TcpPeerTransport transport() {
		return this.fleetServices.transport();
	}

	/**
	 * Returns the membership service.
	 * @return the service
	 */
	public MembershipService membership() {
		return this.fleetServices.membership();
	}

	/**
	 * Returns the ticket number up to which this daemon has applied all tickets.
	 * @return the ticket number; 0 if no ticket is applied
	 */
	public long appliedNumber() {
		return this.fleetServices.appliedNumber();
	}

	/**
	 * Shuts down gracefully: open requests may finish within the timeouts of the
	 * settings.
	 */
	public void shutDown() {
		LOG.atInfo().addKeyValue("event", "daemon_stopping").addKeyValue("open", this.openRequests.openCount()).log();
		this.shutdown.begin(System.nanoTime());
		this.fleetServices.leave();
		while (pollShutdown() != ShutdownSequence.Phase.STOPPED) {
			if (!sleepUntilNextPoll()) {
				break;
			}
		}
		close();
		LOG.atInfo()
			.addKeyValue("event", "daemon_stopped")
			.addKeyValue("refused", this.shutdownAdmission.refused())
			.addKeyValue("ended_not_run", this.openRequests.endedNotRun())
			.addKeyValue("ended_may_have_run", this.openRequests.endedMayHaveRun())
			.log();
	}

	private ShutdownSequence.Phase pollShutdown() {
		long nowNanos = System.nanoTime();
		ShutdownSequence.Phase phase = this.shutdown.poll(this.openRequests.openCount(), nowNanos);
		this.shutdownAdmission.endWaiting(nowNanos);
		if (phase == ShutdownSequence.Phase.DRAINING) {
			this.openRequests.refuseNew();
		}
		else if (phase == ShutdownSequence.Phase.ENDING) {
			this.openRequests.endAll();
		}
		return phase;
	}

	// A server also stops, but reports a failure, if a caller keeps its connection busy
	// beyond the stop timeout.
	private static void stop(Javalin server) {
		try {
			server.stop();
		}
		catch (JavalinException ex) {
			LOG.atWarn()
				.addKeyValue("event", "connections_closed_at_stop")
				.addKeyValue("reason", ex.getMessage())
				.log();
		}
	}

	private static boolean sleepUntilNextPoll() {
		try {
			Thread.sleep(SHUTDOWN_POLL_MILLIS);
			return true;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

	/**
	 * Closes all connections immediately and stops, as if the process had crashed: it
	 * does not notify the peers, cancel requests on engines or return the rate slot.
	 */
	public void kill() {
		this.fleetServices.transport().close();
		this.requestDuties.kill();
		for (Javalin server : List.of(this.callerServer, this.operatorServer)) {
			for (Connector connector : server.jettyServer().server().getConnectors()) {
				connector.getConnectedEndPoints().forEach(EndPoint::close);
			}
		}
		stop(this.callerServer);
		stop(this.operatorServer);
		this.fleetServices.kill();
	}

	/**
	 * Stops without draining; open requests end with an explicit error where it can still
	 * be sent.
	 */
	@Override
	public void close() {
		this.fleetServices.leave();
		this.openRequests.refuseNew();
		this.openRequests.endAll();
		// Waits until the ended requests have sent their errors to the callers.
		for (int polls = 0; polls < MAX_END_POLLS && this.openRequests.openCount() > 0
				&& sleepUntilNextPoll(); polls++) {
			this.openRequests.endAll();
		}
		if (this.openRequests.openCount() > 0) {
			LOG.atWarn()
				.addKeyValue("event", "requests_cut_at_stop")
				.addKeyValue("open", this.openRequests.openCount())
				.log();
		}
		stop(this.callerServer);
		stop(this.operatorServer);
		this.requestDuties.close();
		this.fleetServices.close();
	}

}
