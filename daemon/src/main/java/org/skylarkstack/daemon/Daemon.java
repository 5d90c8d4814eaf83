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
import org.skylarkstack.request.OpenRequests;
import org.skylarkstack.request.ShutdownSequence;
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

	private static final long SHUTDOWN_POLL_MILLIS = 20;

	private static final int MAX_END_POLLS = 50;

	private final DaemonSettings settings;

	private final CallerApi callerApi;

	private final OperatorApi operatorApi;

	private final TicketLog tickets;

	private final ScheduledExecutorService poller = Executors
		.newSingleThreadScheduledExecutor((task) -> new Thread(task, "ticket-poll"));

	private final RequestDuties requestDuties;

	private final ShutdownSequence shutdown;

	private final OpenRequests openRequests;

	private final Javalin callerServer;

	private final Javalin operatorServer;

	/**
	 * Creates a daemon; {@link #start(DaemonSettings)} starts it.
	 * @param settings the settings
	 * @param callerApi the API for callers
	 * @param operatorApi the API for operators
	 * @param tickets the ticket log
	 * @param requestDuties the periodic work of the request path
	 * @param shutdown the order of a graceful shutdown
	 * @param openRequests the open requests
	 */
	@Inject
	public Daemon(DaemonSettings settings, CallerApi callerApi, OperatorApi operatorApi, TicketLog tickets,
			RequestDuties requestDuties, ShutdownSequence shutdown, OpenRequests openRequests) {
		this.settings = settings;
		this.callerApi = callerApi;
		this.operatorApi = operatorApi;
		this.tickets = tickets;
		this.requestDuties = requestDuties;
		this.shutdown = shutdown;
		this.openRequests = openRequests;
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
		this.callerServer.start(caller.host(), caller.port());
		this.operatorServer.start(operator.host(), operator.port());
		this.poller.scheduleWithFixedDelay(this::poll, 0, TICKET_POLL_MILLIS, TimeUnit.MILLISECONDS);
		this.requestDuties.start();
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
	 * Returns the port for operators.
	 * @return the port
	 */
	public int operatorPort() {
		return this.operatorServer.port();
	}

	/** Shuts down without cutting a request off, within the bounds of the settings. */
	public void shutDown() {
		this.shutdown.begin(System.nanoTime());
		while (pollShutdown() != ShutdownSequence.Phase.STOPPED) {
			if (!pause()) {
				break;
			}
		}
		close();
	}

	private ShutdownSequence.Phase pollShutdown() {
		ShutdownSequence.Phase phase = this.shutdown.poll(this.openRequests.open(), System.nanoTime());
		if (phase == ShutdownSequence.Phase.DRAINING) {
			this.openRequests.refuseNew();
		}
		else if (phase == ShutdownSequence.Phase.ENDING) {
			this.openRequests.endAll();
		}
		return phase;
	}

	private static boolean pause() {
		try {
			Thread.sleep(SHUTDOWN_POLL_MILLIS);
			return true;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

	/** Stops at once; open requests end with an explicit error where that can be sent. */
	@Override
	public void close() {
		this.poller.shutdownNow();
		this.openRequests.refuseNew();
		this.openRequests.endAll();
		// Gives the ended requests the time to tell their callers.
		for (int polls = 0; polls < MAX_END_POLLS && this.openRequests.open() > 0 && pause(); polls++) {
			this.openRequests.endAll();
		}
		this.callerServer.stop();
		this.operatorServer.stop();
		this.requestDuties.close();
	}

}
