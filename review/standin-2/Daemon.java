import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A process of the system, started with the command of the deploy file. */
final class Daemon {

	final String vm;

	final String ip;

	final int callerPort;

	private final int readyPort;

	private final int peerPort;

	private final Path folder;

	private final Path settings;

	Process process;

	Daemon(String vm, String zone, String ip, Path folder, String storeAddress, boolean firstStart, int grace)
			throws IOException {
		this.vm = vm;
		this.ip = ip;
		this.folder = folder;
		this.callerPort = freePort(ip);
		this.readyPort = freePort(ip);
		this.peerPort = freePort(ip);
		this.settings = folder.resolve(vm + ".json");
		write(zone, storeAddress, firstStart, grace);
	}

	void write(String zone, String storeAddress, boolean firstStart, int grace) throws IOException {
		Files.writeString(this.settings, """
				{"vmId":"%s","dataCentre":"%s","firstStart":%s,"callerAddress":"%s:%d","readyAddress":"%s:%d",
				"ipAddress":"%s","peerPort":%d,"storeAddress":"%s","maxDescriptors":4100,"revocationStrict":true,
				"revocationMillis":5000,"drainMillis":2000,"retryRatio":0.2,"retryFixed":54,"retryWindowSeconds":10,
				"limitWindowSeconds":8,"limitTolerance":0.1,"limitSlack":110000,"secondAttemptShare":0.05,
				"shutdownSeconds":%d}
				""".formatted(this.vm, zone, firstStart, this.ip, this.callerPort, this.ip, this.readyPort, this.ip,
				this.peerPort, storeAddress, grace));
	}

	static int freePort(String ip) throws IOException {
		try (ServerSocket socket = new ServerSocket()) {
			socket.bind(new InetSocketAddress(InetAddress.getByName(ip), 0));
			return socket.getLocalPort();
		}
	}

	void start() throws IOException {
		String deploy = Files.readString(Path.of("deploy/system.toml"));
		String run = deploy.lines().filter((line) -> line.startsWith("run = ")).findFirst().orElseThrow();
		List<String> command = new ArrayList<>(
				List.of(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" ")));
		ProcessBuilder builder = new ProcessBuilder(command);
		builder.environment().put("SKYLARKSTACK_CONFIG", this.settings.toString());
		File log = this.folder.resolve(this.vm + ".log").toFile();
		builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log));
		this.process = builder.start();
		Runtime.getRuntime().addShutdownHook(new Thread(this.process::destroyForcibly));
	}

	void signal(String name) throws IOException, InterruptedException {
		new ProcessBuilder("kill", "-" + name, Long.toString(this.process.pid())).start().waitFor();
	}

	void kill() throws InterruptedException {
		this.process.destroyForcibly();
		this.process.waitFor(10, TimeUnit.SECONDS);
	}

	boolean ready() {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(this.ip, this.readyPort), 500);
			socket.setSoTimeout(1_000);
			socket.getOutputStream().write("GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".getBytes());
			Http.Head head = Http.head(socket.getInputStream());
			return head != null && head.status() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	boolean awaitReady(long millis) throws InterruptedException {
		long end = System.nanoTime() + millis * 1_000_000;
		while (System.nanoTime() < end) {
			if (ready()) {
				return true;
			}
			Thread.sleep(50);
		}
		return false;
	}

	/** Resident memory in MB. */
	long residentMb() throws IOException {
		for (String line : Files.readAllLines(Path.of("/proc/" + this.process.pid() + "/status"))) {
			if (line.startsWith("VmRSS")) {
				return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1_024;
			}
		}
		return -1;
	}

}
