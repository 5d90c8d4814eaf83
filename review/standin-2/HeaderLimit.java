import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A version of the configuration that raises the limit on the size of headers, and clients that then use it on the
 * channels that they already have. Counts the requests that the daemon ends with a 4xx although they are proper.
 */
public final class HeaderLimit {

	private static final int FORMER_BYTES = 16_384;

	private static final int RAISED_BYTES = 32_768;

	private static final int SENT_BYTES = 20_000;

	private static final int TIMEOUT_MILLIS = 4_000;

	// configApplyMs is 2,000.
	private static final long APPLY_MILLIS = 3_000;

	private static final int CLIENTS = 20;

	private static final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

	private static PrintWriter record;

	private static long startedNanos;

	private HeaderLimit() {
	}

	private static synchronized void note(String text) {
		record.printf("%8.3f s  %s%n", (System.nanoTime() - startedNanos) / 1e9, text);
		record.flush();
	}

	/**
	 * Runs the case.
	 * @param args the folder of the case
	 */
	public static void main(String[] args) throws Exception {
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		startedNanos = System.nanoTime();
		record = new PrintWriter(Files.newBufferedWriter(Path.of(args[0], "record.txt")));
		Path folder = Files.createTempDirectory("review");
		String base = "127.%d.%d.".formatted(10 + ProcessHandle.current().pid() / 256 % 200,
				ProcessHandle.current().pid() % 256);
		note("TROUBLE " + (trouble ? "1: the limit is raised while the channels are open"
				: "0: the higher limit is in force from the start"));
		Store store = new Store(base + "100");
		for (int number = 0; number < 3; number++) {
			Engine engine = new Engine("i-" + number, "app", "", base + (50 + number), 0, (self, head, socket) -> {
				Http.body(socket.getInputStream(), head);
				runs.computeIfAbsent(head.field("X-Request-Id"), (id) -> new AtomicInteger()).incrementAndGet();
				note("engine " + self.id + " runs " + head.field("X-Request-Id"));
				Engine.succeed(socket, head, new byte[800]);
			});
			store.put("servers", engine.id, engine.entry("ready"));
		}
		store.put("op", "config", configuration(7, trouble ? FORMER_BYTES : RAISED_BYTES));
		Daemon daemon = new Daemon("vm-0", "a", base + "2", folder, store.address(), true, 8);
		daemon.start();
		int exit = 2;
		try {
			if (daemon.awaitReady(20_000)) {
				exit = play(daemon, store, trouble);
			}
			for (String line : Files.readAllLines(folder.resolve("vm-0.log"))) {
				if (line.contains("level=WARN") || line.contains("event=configuration-applied")) {
					note("vm-0 logs: " + line);
				}
			}
		}
		finally {
			daemon.kill();
		}
		note("exit " + exit);
		System.exit(exit);
	}

	private static String configuration(int version, int headerBytes) {
		return Wire.configuration("bookings.json", version, TIMEOUT_MILLIS, headerBytes, 15_000);
	}

	private static Client.Answer call(Client client, String id, int fieldBytes) {
		Client.Answer answer = client.call("POST", "/book/x", "h.example",
				Wire.name("key") + "\r\nX-Note: " + "n".repeat(fieldBytes) + "\r\n", id, TIMEOUT_MILLIS, new byte[2]);
		note("client: " + id + " with " + fieldBytes + " bytes of a field gets " + answer.status() + " " + answer.note());
		return answer;
	}

	private static int play(Daemon daemon, Store store, boolean trouble) throws InterruptedException {
		Map<Integer, Integer> statuses = new TreeMap<>();
		List<Client> clients = new ArrayList<>();
		int requests = 0;
		for (int number = 0; number < CLIENTS; number++) {
			Client client = new Client(daemon.ip, daemon.callerPort);
			clients.add(client);
			statuses.merge(call(client, "a" + number, 100).status(), 1, Integer::sum);
			requests++;
		}
		if (trouble) {
			store.put("op", "config", configuration(8, RAISED_BYTES));
			note("the operator writes version 8; the store has confirmed it");
		}
		Thread.sleep(APPLY_MILLIS);
		int denied = 0;
		for (int number = 0; number < CLIENTS; number++) {
			int status = call(clients.get(number), "b" + number, SENT_BYTES).status();
			statuses.merge(status, 1, Integer::sum);
			denied += (status / 100 == 4 && !List.of(408, 421, 429).contains(status)) ? 1 : 0;
			requests++;
		}
		try (Client other = new Client(daemon.ip, daemon.callerPort)) {
			statuses.merge(call(other, "c", SENT_BYTES).status(), 1, Integer::sum);
			requests++;
		}
		clients.forEach(Client::close);
		note("%d requests by status %s, %d denied".formatted(requests, statuses, denied));
		return (denied > 5 + requests / 500.0) ? 1 : (statuses.getOrDefault(200, 0) == requests) ? 0 : 2;
	}

}
