package org.skylarkstack.daemon;

import java.util.List;

import io.javalin.Javalin;
import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Connector;
import org.skylarkstack.configuration.ConfigurationDuty;
import org.skylarkstack.http.CallerApi;
import org.skylarkstack.http.OperatorApi;
import org.skylarkstack.peer.PeerTransport;
import org.skylarkstack.settings.DaemonSettings;
import org.skylarkstack.settings.ListenAddress;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Daemon of one VM.
 */
@Singleton
public final class Daemon implements AutoCloseable {

	private static final Logger LOG = LoggerFactory.getLogger(Daemon.class);

	private final DaemonSettings settings;

	private final CallerApi callerApi;

	private final OperatorApi operatorApi;

	private final ConfigurationDuty configuration;

	private final PeerTransport transport;

	private final Javalin callerServer;

	private final Javalin operatorServer;

	/**
	 * Creates a daemon; {@link #start(DaemonSettings)} starts it.
	 * @param settings the settings
	 * @param callerApi the API for callers
	 * @param operatorApi the API for operators
	 * @param configuration keeps the configuration up to date
	 * @param transport connects to peers
	 */
	@Inject
	public Daemon(DaemonSettings settings, CallerApi callerApi, OperatorApi operatorApi,
			ConfigurationDuty configuration, PeerTransport transport) {
		this.settings = settings;
		this.callerApi = callerApi;
		this.operatorApi = operatorApi;
		this.configuration = configuration;
		this.transport = transport;
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
		this.configuration.start(this.transport);
		LOG.atInfo()
			.addKeyValue("event", "daemon_started")
			.addKeyValue("vm", this.settings.vmId())
			.addKeyValue("caller_port", callerPort())
			.addKeyValue("operator_port", operatorPort())
			.log();
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

	/**
	 * Closes all connections of callers and operators at once and stops, as if the
	 * process had died. Calls to backend servers end when their threads are interrupted.
	 */
	public void kill() {
		for (Javalin server : List.of(this.callerServer, this.operatorServer)) {
			for (Connector connector : server.jettyServer().server().getConnectors()) {
				connector.getConnectedEndPoints().forEach(EndPoint::close);
			}
		}
		close();
	}

	@Override
	public void close() {
		this.configuration.close();
		this.callerServer.stop();
		this.operatorServer.stop();
	}

}
