package org.skylarkstack.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.configuration.ApiKey;
import org.skylarkstack.configuration.BackendServer;
import org.skylarkstack.configuration.BackendService;
import org.skylarkstack.configuration.Ticket;
import org.skylarkstack.configuration.TicketChange;
import org.skylarkstack.daemon.Daemon;
import org.skylarkstack.misc.Hashes;
import org.skylarkstack.settings.BackendTimeouts;
import org.skylarkstack.settings.DaemonSettings;
import org.skylarkstack.settings.ListenAddress;
import org.skylarkstack.settings.PeerSettings;
import org.skylarkstack.settings.PlatformSettings;
import org.skylarkstack.standin.EngineStandIn;
import org.skylarkstack.standin.PlainServiceStandIn;
import org.skylarkstack.standin.PlatformStandIn;

/**
 * Fleet that runs on loopback in the current process: a platform stand-in, engine and
 * service stand-ins, and daemons.
 */
public final class LocalFleet implements AutoCloseable {

	/** Bearer key of the operator API of all daemons in a local fleet. */
	public static final String OPERATOR_KEY = "local-operator-key";

	private static final String LOOPBACK = "127.0.0.1";

	private static final String SHARED_SECRET = "local-shared-secret";

	private static final int PLATFORM_TIMEOUT_MILLIS = 1_000;

	private final FleetPlan plan;

	private final PlatformStandIn platform = new PlatformStandIn(0);

	private final Map<String, EngineStandIn> engines = new LinkedHashMap<>();

	private final Map<String, List<PlainServiceStandIn>> servers = new LinkedHashMap<>();

	private final Map<String, Daemon> daemons = Collections.synchronizedMap(new LinkedHashMap<>());

	private final List<PeerSettings> peers = new ArrayList<>();

	private final @Nullable BackendTimeouts timeouts;

	private LocalFleet(FleetPlan plan, @Nullable BackendTimeouts timeouts) {
		this.plan = plan;
		this.timeouts = timeouts;
	}

	/**
	 * Starts a fleet. Its configuration is empty until the first ticket is submitted.
	 * @param plan the configuration of the fleet
	 * @return the running fleet, which the caller closes
	 */
	public static LocalFleet start(FleetPlan plan) {
		return start(plan, null);
	}

	/**
	 * Starts a fleet whose daemons have other timeouts than the default ones.
	 * @param plan the configuration of the fleet
	 * @param timeouts the timeouts, or {@code null} for the default ones
	 * @return the running fleet, which the caller closes
	 */
	public static LocalFleet start(FleetPlan plan, @Nullable BackendTimeouts timeouts) {
		LocalFleet fleet = new LocalFleet(plan, timeouts);
		plan.engines().forEach((engine) -> fleet.engines.put(engine.id(), new EngineStandIn(engine.spec(), 0)));
		plan.services()
			.forEach((service) -> fleet.servers.put(service.id(),
					service.dataCentres().stream().map((dataCentre) -> new PlainServiceStandIn(0)).toList()));
		plan.vms()
			.forEach((vm) -> fleet.peers
				.add(new PeerSettings(vm.vmId(), vm.dataCentre(), new ListenAddress(LOOPBACK, PeerPorts.next()))));
		plan.vms().forEach((vm) -> fleet.startDaemon(vm.vmId()));
		return fleet;
	}

	/**
	 * Starts the daemon of a VM with a new incarnation and adds the VM to the platform's
	 * VM list.
	 * @param vmId the VM, which must be part of the plan
	 */
	public void startDaemon(String vmId) {
		PeerSettings self = this.peers.stream()
			.filter((peer) -> peer.vmId().equals(vmId))
			.findFirst()
			.orElseThrow(() -> new IllegalArgumentException("VM %s is not part of the fleet plan".formatted(vmId)));
		this.daemons.put(vmId, Daemon.start(settings(self)));
		this.platform.vmList().remove(vmId);
		this.platform.vmList().add(vmId);
	}

	private DaemonSettings settings(PeerSettings self) {
		String platformUrl = this.platform.url(self.dataCentre());
		PlatformSettings platformSettings = new PlatformSettings(platformUrl + "/table", platformUrl + "/objects",
				platformUrl + "/vms", "local", "local", "local-secret", "skylarkstack", "skylarkstack",
				PLATFORM_TIMEOUT_MILLIS);
		ListenAddress anyPort = new ListenAddress(LOOPBACK, 0);
		return new DaemonSettings(self.vmId(), self.dataCentre(), anyPort, anyPort, self.address(),
				this.peers.stream().filter((peer) -> !peer.equals(self)).toList(), platformSettings, SHARED_SECRET,
				Hashes.sha256(OPERATOR_KEY), this.plan.vms().size(), this.plan.placementPolicy(), null, this.timeouts);
	}

	/**
	 * Shuts the daemon of a VM down gracefully and removes the VM from the platform's VM
	 * list. Has no effect on the daemon if it is not running.
	 * @param vmId the VM
	 */
	public void stopDaemon(String vmId) {
		Optional.ofNullable(this.daemons.remove(vmId)).ifPresent(Daemon::shutDown);
		this.platform.vmList().remove(vmId);
	}

	/**
	 * Kills the daemon of a VM, which closes all its sockets immediately. The VM stays in
	 * the platform's VM list.
	 * @param vmId the VM
	 */
	public void killDaemon(String vmId) {
		Optional.ofNullable(this.daemons.remove(vmId)).ifPresent(Daemon::kill);
	}

	/**
	 * Returns the ticket that configures the teams, keys, engines, services and routes of
	 * the plan.
	 * @return the ticket, with number 1
	 */
	public Ticket firstTicket() {
		List<TicketChange> changes = new ArrayList<>();
		this.plan.teams().forEach((team) -> changes.add(TicketChange.set(team)));
		this.plan.keys()
			.forEach((key, team) -> changes.add(TicketChange.set(new ApiKey(keyId(key), Hashes.sha256(key), team))));
		this.plan.engines().forEach((engine) -> changes.add(TicketChange.set(engine.node(engine(engine.id()).url()))));
		this.plan.services().forEach((service) -> changes.add(TicketChange.set(backendService(service))));
		this.plan.routes().forEach((route) -> changes.add(TicketChange.set(route)));
		return new Ticket(1, "local", changes);
	}

	/**
	 * Returns the identifier that the first ticket gives to an API key.
	 * @param key the API key in plain text
	 * @return the identifier, which contains the first 8 hexadecimal digits of the hash
	 */
	public static String keyId(String key) {
		return "key-" + Hashes.sha256(key).substring(0, 8);
	}

	private BackendService backendService(ServicePlan service) {
		List<BackendServer> backendServers = new ArrayList<>();
		for (int index = 0; index < service.dataCentres().size(); index++) {
			backendServers.add(
					new BackendServer(servers(service.id()).get(index).url(), service.dataCentres().get(index), false));
		}
		return new BackendService(service.id(), backendServers);
	}

	/**
	 * Returns the servers of a plain service.
	 * @param id the service, which must be part of the plan
	 * @return the stand-ins in the order of the plan
	 */
	public List<PlainServiceStandIn> servers(String id) {
		return Optional.ofNullable(this.servers.get(id))
			.orElseThrow(() -> new IllegalArgumentException("service %s is not part of the fleet plan".formatted(id)));
	}

	/**
	 * Returns the configuration of this fleet.
	 * @return the plan that this fleet was started with
	 */
	public FleetPlan plan() {
		return this.plan;
	}

	/**
	 * Returns the platform stand-in, which provides the table, object store and VM list.
	 * @return the stand-in, which this fleet closes
	 */
	public PlatformStandIn platform() {
		return this.platform;
	}

	/**
	 * Returns an engine stand-in.
	 * @param id the engine, which must be part of the plan
	 * @return the stand-in, which this fleet closes
	 */
	public EngineStandIn engine(String id) {
		return Optional.ofNullable(this.engines.get(id))
			.orElseThrow(() -> new IllegalArgumentException("engine %s is not part of the fleet plan".formatted(id)));
	}

	/**
	 * Returns a running daemon.
	 * @param vmId the VM
	 * @return the daemon, which this fleet closes
	 * @throws IllegalArgumentException if no daemon runs on the VM
	 */
	public Daemon daemon(String vmId) {
		return Optional.ofNullable(this.daemons.get(vmId))
			.orElseThrow(() -> new IllegalArgumentException("no daemon is running on VM %s".formatted(vmId)));
	}

	/**
	 * Returns the VMs that run a daemon.
	 * @return the VM identifiers in the order in which the daemons were started
	 */
	public List<String> vmIds() {
		synchronized (this.daemons) {
			return List.copyOf(this.daemons.keySet());
		}
	}

	/**
	 * Returns the base URL of the caller API of a VM.
	 * @param vmId the VM
	 * @return the URL without a trailing slash
	 */
	public String callerUrl(String vmId) {
		return "http://" + LOOPBACK + ":" + daemon(vmId).callerPort();
	}

	/**
	 * Returns the base URL of the operator API of a VM.
	 * @param vmId the VM
	 * @return the URL without a trailing slash
	 */
	public String operatorUrl(String vmId) {
		return "http://" + LOOPBACK + ":" + daemon(vmId).operatorPort();
	}

	@Override
	public void close() {
		this.daemons.values().forEach(Daemon::close);
		this.engines.values().forEach(EngineStandIn::close);
		this.servers.values().forEach((servers) -> servers.forEach(PlainServiceStandIn::close));
		this.platform.close();
	}

}
