package org.skylarkstack.platform;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * Small deployment for the cases of the review: the store stand-in of the project, and
 * daemons that run as separate processes with the command of the deploy file. All
 * addresses are loopback addresses. A case writes what was sent, answered and run to its
 * record and ends every process that it started.
 */
final class ReviewFleet implements AutoCloseable {

	static final String KEY = "key-1";

	static final String TEAM = "team-1";

	private static final int FIRST_PORT = 10_000;

	private static final int LAST_PORT = 30_000;

	private static final int PORT_ATTEMPTS = 100;

	// Differs from the status with which Java itself ends after an error.
	private static final int BROKEN_STATUS = 10;

	private static final int NOT_RUN_STATUS = 2;

	private final long startNanos = System.nanoTime();

	private final Path temporaryFolder;

	private final PrintWriter record;

	private final String prefix;

	private final StoreStandIn store;

	private final Map<String, Process> daemons = new LinkedHashMap<>();

	private final Map<String, Addresses> addresses = new LinkedHashMap<>();

	private int nextHost = 10;

	private long configurationVersion;

	ReviewFleet(Path folder) throws IOException {
		this.temporaryFolder = Files.createTempDirectory("review");
		this.record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
		ThreadLocalRandom random = ThreadLocalRandom.current();
		this.prefix = "127." + random.nextInt(1, 250) + "." + random.nextInt(1, 250) + ".";
		this.store = new StoreStandIn();
		// For a case that is ended from outside.
		Runtime.getRuntime()
			.addShutdownHook(new Thread(() -> this.daemons.values().forEach(Process::destroyForcibly)));
	}

	StoreStandIn store() {
		return this.store;
	}

	synchronized void note(String format, Object... values) {
		long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.startNanos);
		this.record.printf("%7d ms  %s%n", millis, format.formatted(values));
	}

	/** Returns a loopback address that no other part of this fleet uses. */
	synchronized String nextHost() {
		return this.prefix + this.nextHost++;
	}

	static int freePort(String host) throws IOException {
		IOException last = new IOException("no port was tried");
		for (int attempt = 0; attempt < PORT_ATTEMPTS; attempt++) {
			int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
			try (ServerSocket socket = new ServerSocket()) {
				socket.bind(new InetSocketAddress(host, port));
				return port;
			}
			catch (IOException ex) {
				last = ex;
			}
		}
		throw last;
	}

	/** Writes a configuration with one tenant. */
	void configure(String routes, String services) {
		configureTenants(routes, services, tenant(TEAM, KEY));
	}

	/** Returns a tenant of a configuration, without a limit that the cases reach. */
	static String tenant(String name, String key) {
		return Wire.text("tenant.json", name, key);
	}

	/** Writes the newest configuration once more, after the store has lost it. */
	void rewriteConfiguration(String routes, String services, String tenants) {
		this.configurationVersion--;
		configureTenants(routes, services, tenants);
	}

	void configureTenants(String routes, String services, String tenants) {
		this.configurationVersion++;
		this.store.put("op", "config",
				Wire.text("configuration.json", this.configurationVersion, routes, services, tenants));
		note("operator writes configuration %d, confirmed", this.configurationVersion);
	}

	/** Writes the entry of a server, as the server itself does when it starts. */
	void announce(String id, String service, String stage, InetSocketAddress address, int slots, long seq) {
		String stageField = stage.isEmpty() ? "" : "\"stage\":\"" + stage + "\",";
		this.store.put("servers", id, Wire.text("server.json", service, address.getHostString(), address.getPort(),
				slots, stageField, seq));
		note("server %s announces itself: %s %s", id, service, stage);
	}

	/** Starts a daemon with the command of the deploy file and waits until it is ready. */
	InetSocketAddress startDaemon(String vmId, InetSocketAddress storeAddress) throws Exception {
		String host = nextHost();
		Addresses addresses = new Addresses(host, freePort(host), freePort(host), freePort(host));
		this.addresses.put(vmId, addresses);
		launch(vmId, storeAddress, true);
		await(30, () -> isReady(vmId));
		note("daemon %s is ready", vmId);
		return addresses.callers();
	}

	/** Starts a daemon again that has been killed, at the address that it had. */
	void restartDaemon(String vmId, InetSocketAddress storeAddress) throws IOException {
		launch(vmId, storeAddress, false);
		note("daemon %s starts again", vmId);
	}

	/** Kills a daemon (SIGKILL). */
	void killDaemon(String vmId) throws InterruptedException {
		note("SIGKILL to %s", vmId);
		daemon(vmId).destroyForcibly().waitFor();
	}

	private void launch(String vmId, InetSocketAddress storeAddress, boolean firstStart) throws IOException {
		Addresses own = this.addresses.get(vmId);
		Path settings = this.temporaryFolder.resolve(vmId + ".json");
		Files.writeString(settings, """
				{"vmId":"%s","dataCentre":"a","firstStart":%s,"callerAddress":"%s:%d","readyAddress":"%s:%d",
				"ipAddress":"%s","peerPort":%d,"storeAddress":"%s:%d","revocationStrict":true,
				"revocationMillis":5000,"drainMillis":2000,"retryRatio":0.2,"retryFixed":54,"retryWindowSeconds":10,
				"limitWindowSeconds":8,"limitTolerance":0.1,"limitSlack":110000,"shutdownSeconds":8}"""
			.formatted(vmId, firstStart, own.host(), own.callerPort(), own.host(), own.readyPort(), own.host(),
					own.peerPort(), storeAddress.getHostString(), storeAddress.getPort()));
		ProcessBuilder builder = new ProcessBuilder(command());
		builder.environment().put("SKYLARKSTACK_CONFIG", settings.toString());
		builder.redirectErrorStream(true);
		builder.redirectOutput(ProcessBuilder.Redirect.appendTo(logFile(vmId).toFile()));
		this.daemons.put(vmId, builder.start());
	}

	boolean isReady(String vmId) {
		Addresses own = this.addresses.get(vmId);
		return isReady(new InetSocketAddress(own.host(), own.readyPort()));
	}

	Path logFile(String vmId) {
		return this.temporaryFolder.resolve(vmId + ".log");
	}

	Process daemon(String vmId) {
		return this.daemons.get(vmId);
	}

	// The command of the deploy file. Its program starts in the root of the repository.
	private static List<String> command() throws IOException {
		for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
			if (line.startsWith("run = ")) {
				String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
				return new ArrayList<>(Arrays.asList(run.split(" +")));
			}
		}
		throw new IOException("the deploy file has no command");
	}

	private static boolean isReady(InetSocketAddress address) {
		try (Socket socket = new Socket()) {
			socket.connect(address, 500);
			socket.setSoTimeout(2_000);
			socket.getOutputStream()
				.write("GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes(StandardCharsets.UTF_8));
			byte[] head = socket.getInputStream().readNBytes(12);
			return new String(head, StandardCharsets.US_ASCII).endsWith(" 200");
		}
		catch (IOException ex) {
			return false;
		}
	}

	static void await(int seconds, Callable<Boolean> condition) throws Exception {
		long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
		while (!condition.call()) {
			if (System.nanoTime() - end > 0) {
				throw new IllegalStateException("the case cannot run: a condition did not hold within " + seconds + " s");
			}
			Thread.sleep(20);
		}
	}

	@Override
	public void close() {
		for (Process process : this.daemons.values()) {
			process.destroyForcibly();
		}
		this.store.close();
		for (String vmId : this.daemons.keySet()) {
			try {
				this.daemons.get(vmId).waitFor();
				for (String line : Files.readAllLines(logFile(vmId))) {
					this.record.println("log " + vmId + "  " + line);
				}
				Files.deleteIfExists(logFile(vmId));
				Files.deleteIfExists(this.temporaryFolder.resolve(vmId + ".json"));
			}
			catch (IOException ex) {
				this.record.println("the log cannot be read: " + ex.getMessage());
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
		try {
			Files.deleteIfExists(this.temporaryFolder);
		}
		catch (IOException ex) {
			this.record.println("the temporary folder is not empty");
		}
		this.record.close();
	}

	private record Addresses(String host, int callerPort, int readyPort, int peerPort) {

		InetSocketAddress callers() {
			return new InetSocketAddress(this.host, this.callerPort);
		}

	}

	/**
	 * What a case does with its fleet.
	 */
	interface Case {

		/**
		 * Runs the case.
		 * @param fleet the fleet, to which nothing has been added yet
		 * @param trouble whether the disruption takes place
		 * @return whether the rule held
		 */
		boolean run(ReviewFleet fleet, boolean trouble) throws Exception;

	}

	/** Runs a case and ends the process with its result. */
	static void main(String[] arguments, Case tested) {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int status = NOT_RUN_STATUS;
		try (ReviewFleet fleet = new ReviewFleet(Path.of(arguments[0]))) {
			try {
				status = tested.run(fleet, trouble) ? 0 : BROKEN_STATUS;
			}
			catch (Exception | Error ex) {
				fleet.note("the case could not run: %s", ex);
			}
			fleet.note("the rule %s (trouble: %s)", describe(status), trouble);
		}
		catch (IOException ex) {
			System.err.println(ex);
		}
		System.out.println("the rule " + describe(status));
		Runtime.getRuntime().halt(status);
	}

	private static String describe(int status) {
		return switch (status) {
			case 0 -> "held";
			case BROKEN_STATUS -> "was broken";
			default -> "was not tested";
		};
	}

}
