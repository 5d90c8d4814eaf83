package org.skylarkstack.daemon;

import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.javalin.Javalin;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import org.skylarkstack.configuration.TicketLog;
import org.skylarkstack.http.CallerApi;
import org.skylarkstack.http.OperatorApi;
import org.skylarkstack.limit.LendingTeamLimiter;
import org.skylarkstack.membership.MembershipService;
import org.skylarkstack.peer.TcpPeerTransport;
import org.skylarkstack.settings.DaemonSettings;
import org.skylarkstack.settings.ListenAddress;
import org.skylarkstack.store.StoreException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Daemon of one VM.
 */
@Singleton
public final class Daemon implements AutoCloseable {

	private static final Logger LOG = LoggerFactory.getLogger(Daemon.class);

	private static final long TICKET_POLL_MILLIS = 500;

	private final DaemonSettings settings;

	private final CallerApi callerApi;

	private final OperatorApi operatorApi;

	private final TicketLog tickets;

	private final TcpPeerTransport transport;

	private final MembershipService membership;

	private final LendingTeamLimiter limiter;

	private final ScheduledExecutorService poller = Executors
		.newSingleThreadScheduledExecutor((task) -> new Thread(task, "ticket-poll"));

	private final Javalin callerServer;

	private final Javalin operatorServer;

	/**
	 * Creates a daemon; {@link #start(DaemonSettings)} starts it.
	 * @param settings the settings
	 * @param callerApi the API for callers
	 * @param operatorApi the API for operators
	 * @param tickets the ticket log
	 * @param transport the peer transport
	 * @param membership the membership
	 * @param limiter the teams' limits
	 */
	@Inject
	public Daemon(DaemonSettings settings, CallerApi callerApi, OperatorApi operatorApi, TicketLog tickets,
			TcpPeerTransport transport, MembershipService membership, LendingTeamLimiter limiter) {
		this.settings = settings;
		this.callerApi = callerApi;
		this.operatorApi = operatorApi;
		this.tickets = tickets;
		this.transport = transport;
		this.membership = membership;
		this.limiter = limiter;
		this.callerServer = Javalin.create((config) -> {
			config.startup.showJavalinBanner = false;
			this.callerApi.register(config);
		});
		this.operatorServer = Javalin.create((config) -> {
			config.startup.showJavalinBanner = false;
			this.operatorApi.register(config);
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
		this.transport.start();
		this.membership.start();
		this.limiter.start();
		this.callerServer.start(caller.host(), caller.port());
		this.operatorServer.start(operator.host(), operator.port());
		this.poller.scheduleWithFixedDelay(this::poll, 0, TICKET_POLL_MILLIS, TimeUnit.MILLISECONDS);
		LOG.atInfo()
			.addKeyValue("event", "daemon_started")
			.addKeyValue("vm", this.settings.vmId())
			.addKeyValue("caller_port", callerPort())
			.addKeyValue("operator_port", operatorPort())
			.log();
	}

	private void poll() {
		try {
			this.tickets.catchUp();
		}
		catch (StoreException ex) {
			LOG.atWarn().addKeyValue("event", "ticket_poll_failed").addKeyValue("reason", ex.getMessage()).log();
		}
	}

	/**
	 * Returns the port for callers.
	 * @return the port
	 */
	public int callerPort() {
		return this.callerServer.port();
	}

	/**
	 * Returns the peer transport, for counters and fault switches.
	 * @return the transport
	 */
	public TcpPeerTransport transport() {
		return this.transport;
	}

	/**
	 * Returns the membership.
	 * @return the service
	 */
	public MembershipService membership() {
		return this.membership;
	}

	/**
	 * Returns the port for operators.
	 * @return the port
	 */
	public int operatorPort() {
		return this.operatorServer.port();
	}

	@Override
	public void close() {
		this.membership.leave();
		this.poller.shutdownNow();
		this.callerServer.stop();
		this.operatorServer.stop();
		this.limiter.close();
		this.membership.close();
		this.transport.close();
	}

}
