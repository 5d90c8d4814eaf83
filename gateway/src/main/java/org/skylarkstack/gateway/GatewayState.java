package org.skylarkstack.gateway;

import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.coldness.ColdPolicy;
import org.skylarkstack.edge.EdgeLimits;
import org.skylarkstack.peers.PeerUsage;
import org.skylarkstack.share.LimitShares;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The current state of a daemon: the active configuration, the announced backend servers,
 * and the freshness of the configuration. Confined to one thread.
 */
public final class GatewayState {

	private static final Logger log = LoggerFactory.getLogger(GatewayState.class);

	// Maximum age of a configuration read as a share of the revocation time. The rest
	// is reserved for the transit of a request from its caller.
	private static final double MAX_AGE_SHARE = 0.9;

	private final BackendDirectory backends;

	private final ConfigurationVersions versions = new ConfigurationVersions();

	private final ConfigurationFreshness freshness;

	private @Nullable RoutingTable routing;

	private boolean backendsLoaded;

	private final DrainWindow drainWindow = new DrainWindow();

	/**
	 * Creates a state without configuration and backend servers.
	 * @param settings the settings, of which the name of the VM and the revocation time
	 * are used
	 * @param peers knows the other daemons
	 */
	public GatewayState(GatewaySettings settings, PeerUsage peers) {
		this.backends = new BackendDirectory(new LimitShares(settings.vmId(), peers), settings.coldBounds());
		this.freshness = new ConfigurationFreshness((long) (MAX_AGE_SHARE * settings.revocationMillis()),
				this.versions);
	}

	/**
	 * Activates a configuration, unless its version is older than or equal to that of the
	 * active one.
	 * @param table the configuration
	 * @return whether the configuration was activated
	 */
	public boolean apply(RoutingTable table) {
		RoutingTable previous = this.routing;
		if (previous != null && previous.version() >= table.version()) {
			return false;
		}
		this.routing = table;
		this.versions.recordApplied(table.version());
		Map<String, ColdPolicy> cold = new HashMap<>();
		table.services().forEach((service) -> cold.put(service.name(), service.cold()));
		this.backends.coldPolicies().replace(cold);
		log.atInfo()
			.addKeyValue("event", "configuration-applied")
			.addKeyValue("version", table.version())
			.addKeyValue("former", (previous != null) ? previous.version() : 0)
			.addKeyValue("teams", table.teams().size())
			.log();
		return true;
	}

	/**
	 * Returns the active configuration.
	 * @return the configuration, or {@code null} if none has been read yet
	 */
	public @Nullable RoutingTable routing() {
		return this.routing;
	}

	/**
	 * Finds a team of the active configuration.
	 * @param name the name of the team
	 * @return the team, or {@code null} if it is not configured
	 */
	public @Nullable TeamPolicy team(String name) {
		RoutingTable table = this.routing;
		return (table != null) ? table.teamByName(name) : null;
	}

	/**
	 * Returns the limits on the connections and requests of callers.
	 * @return the limits of the active configuration, or the defaults if none is known
	 * yet
	 */
	public EdgeLimits limits() {
		RoutingTable table = this.routing;
		return (table != null) ? table.limits() : EdgeLimits.DEFAULT;
	}

	/**
	 * Returns the directory of backend servers.
	 * @return the directory, updated in place
	 */
	public BackendDirectory backends() {
		return this.backends;
	}

	/** Records that a complete list of backend servers was read. */
	public void markBackendsLoaded() {
		this.backendsLoaded = true;
	}

	/**
	 * Returns the tracker of the configuration's age.
	 * @return the tracker, in which every complete read is recorded
	 */
	public ConfigurationFreshness freshness() {
		return this.freshness;
	}

	/**
	 * Returns the time that the daemon has left to complete requests.
	 * @return the window, which begins when the daemon is asked to stop
	 */
	public DrainWindow drainWindow() {
		return this.drainWindow;
	}

	/**
	 * Returns the versions of the configuration that this daemon and its peers know.
	 * @return the versions, updated in place
	 */
	public ConfigurationVersions versions() {
		return this.versions;
	}

	/**
	 * Returns whether this daemon is ready for new connections.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @param nowEpochMillis the current wall-clock time in milliseconds since the epoch
	 * @return whether the daemon is not stopping, has read a configuration that is not
	 * known to be outdated and the backend servers, and has a fresh configuration if keys
	 * are required
	 */
	public boolean ready(long nowNanos, long nowEpochMillis) {
		RoutingTable table = this.routing;
		return !this.drainWindow.isClosing() && table != null && this.backendsLoaded
				&& !this.versions.mayBeOutdated(nowNanos)
				&& (table.teams().isEmpty() || this.freshness.fresh(nowNanos, nowEpochMillis));
	}

}
