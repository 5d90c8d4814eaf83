import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that read the answers to their requests steadily but slowly, each on a channel that it has used before. Counts
 * the channels that a daemon closes before the whole answer of a sound engine has reached the client.
 */
public final class SlowReaders {

	private static final int BUDGET_MILLIS = 14_000;

	private static final int MAX_CLOSED = 3;

	private static final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

	private static PrintWriter record;

	private static long startedNanos;

	private SlowReaders() {
	}

	private static synchronized void note(String text) {
		record.printf("%8.3f s  %s%n", (System.nanoTime() - startedNanos) / 1e9, text);
		record.flush();
	}

	/**
	 * Runs the case.
	 * @param args the folder of the case, then the numbers of daemons, clients for each and rounds, the bytes of an
	 * answer, the bytes that a client reads in a second, and the idle limit in milliseconds
	 */
	public static void main(String[] args) throws Exception {
		int daemonCount = Integer.parseInt(args[1]);
		int clients = Integer.parseInt(args[2]);
		int rounds = Integer.parseInt(args[3]);
		int answerBytes = Integer.parseInt(args[4]);
		boolean trouble = !"0".equals(System.getenv("TROUBLE"));
		int bytesPerSecond = trouble ? Integer.parseInt(args[5]) : Integer.MAX_VALUE;
		int idleMillis = Integer.parseInt(args[6]);
		startedNanos = System.nanoTime();
		record = new PrintWriter(Files.newBufferedWriter(Path.of(args[0], "record.txt")));
		Path folder = Files.createTempDirectory("review");
		String base = "127.%d.%d.".formatted(10 + ProcessHandle.current().pid() / 256 % 200,
				ProcessHandle.current().pid() % 256);
		note("TROUBLE " + (trouble ? "1: clients read " + bytesPerSecond + " bytes a second" : "0: clients read at once"));
		Store store = new Store(base + "100");
		for (int number = 0; number < 3; number++) {
			Engine engine = new Engine("i-" + number, "app", "", base + (50 + number), 0, (self, head, socket) -> {
				Http.body(socket.getInputStream(), head);
				runs.computeIfAbsent(head.field("X-Request-Id"), (id) -> new AtomicInteger()).incrementAndGet();
				note("engine " + self.id + " runs " + head.field("X-Request-Id"));
				Engine.succeed(socket, head, new byte[head.target().endsWith("/large") ? answerBytes : 800]);
			});
			store.put("servers", engine.id, engine.entry("ready"));
		}
		store.put("op", "config", Wire.configuration("bookings.json", 7, BUDGET_MILLIS, 16_384, idleMillis));
		List<Daemon> daemons = new ArrayList<>();
		for (int number = 0; number < daemonCount; number++) {
			Daemon daemon = new Daemon("vm-" + number, "a", base + (2 + number), folder, store.address(), true, 8);
			daemon.start();
			daemons.add(daemon);
		}
		int exit = 2;
		try {
			boolean ready = true;
			for (Daemon daemon : daemons) {
				ready &= daemon.awaitReady(20_000);
			}
			if (ready) {
				exit = play(daemons, clients, rounds, answerBytes, bytesPerSecond);
			}
			else {
				note("a daemon does not start");
			}
			for (Daemon daemon : daemons) {
				for (String line : Files.readAllLines(folder.resolve(daemon.vm + ".log"))) {
					if (line.contains("unread-response-dropped")) {
						note(daemon.vm + " logs: " + line);
					}
				}
				note(daemon.vm + (daemon.process.isAlive() ? " runs, " + daemon.residentMb() + " MB resident" : " has ended"));
			}
		}
		finally {
			for (Daemon daemon : daemons) {
				daemon.kill();
			}
		}
		note("exit " + exit);
		System.exit(exit);
	}

	private static int play(List<Daemon> daemons, int clients, int rounds, int answerBytes, int bytesPerSecond)
			throws InterruptedException {
		AtomicInteger closed = new AtomicInteger();
		AtomicInteger whole = new AtomicInteger();
		AtomicInteger odd = new AtomicInteger();
		for (int round = 0; round < rounds; round++) {
			List<Thread> threads = new ArrayList<>();
			for (Daemon daemon : daemons) {
				for (int number = 0; number < clients; number++) {
					String id = "%d-%s-%d".formatted(round, daemon.vm, number);
					Thread thread = new Thread(() -> {
						switch (call(daemon, id, answerBytes, bytesPerSecond)) {
							case WHOLE -> whole.incrementAndGet();
							case CLOSED -> closed.incrementAndGet();
							default -> odd.incrementAndGet();
						}
					});
					thread.start();
					threads.add(thread);
					Thread.sleep(100);
				}
			}
			for (Thread thread : threads) {
				thread.join();
			}
		}
		note("%d answers came whole, %d channels were closed before the whole answer, %d other ends"
			.formatted(whole.get(), closed.get(), odd.get()));
		if (closed.get() > MAX_CLOSED) {
			return 1;
		}
		return (odd.get() > 0) ? 2 : 0;
	}

	private enum End {

		WHOLE, CLOSED, OTHER

	}

	private static End call(Daemon daemon, String id, int answerBytes, int bytesPerSecond) {
		try (Socket socket = new Socket()) {
			socket.setReceiveBufferSize(16 * 1024);
			socket.setSoTimeout(BUDGET_MILLIS);
			socket.connect(new InetSocketAddress(daemon.ip, daemon.callerPort), 1_000);
			send(socket, "/book/small", id + "a");
			Http.Head first = Http.head(socket.getInputStream());
			Http.body(socket.getInputStream(), first);
			if (first.status() != 200) {
				note("client: " + id + "a gets " + first.status());
				return End.OTHER;
			}
			note("client: sends " + id + "b to " + daemon.vm + " on the channel on which " + id + "a was answered with 200");
			long sentNanos = System.nanoTime();
			send(socket, "/book/large", id + "b");
			Http.Head head = Http.head(socket.getInputStream());
			if (head == null || head.status() != 200 || head.field(Wire.name("proof")).isEmpty()) {
				note("client: " + id + "b gets " + ((head != null) ? head.first : "no head"));
				return End.OTHER;
			}
			int received = read(socket.getInputStream(), answerBytes, bytesPerSecond);
			long millis = (System.nanoTime() - sentNanos) / 1_000_000;
			boolean whole = received == answerBytes;
			note("client: %sb gets 200 and %s of %d bytes, after %d ms; it ran %s times".formatted(id,
					whole ? "all" : "only " + received, answerBytes, millis, runs.get(id + "b")));
			if (millis > BUDGET_MILLIS) {
				return End.OTHER;
			}
			return whole ? End.WHOLE : End.CLOSED;
		}
		catch (IOException | InterruptedException ex) {
			note("client: " + id + " ends with " + ex);
			return End.OTHER;
		}
	}

	private static void send(Socket socket, String target, String id) throws IOException {
		socket.getOutputStream()
			.write(("POST " + target + " HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + id + "\r\nX-Request-Timeout-Ms: "
					+ BUDGET_MILLIS + "\r\n" + Wire.name("key") + "\r\nContent-Length: 2\r\n\r\nok")
				.getBytes(StandardCharsets.ISO_8859_1));
	}

	private static int read(InputStream in, int bytes, int bytesPerSecond) throws InterruptedException {
		byte[] part = new byte[8 * 1024];
		int received = 0;
		long startNanos = System.nanoTime();
		while (received < bytes) {
			int found;
			try {
				found = in.read(part, 0, Math.min(part.length, bytes - received));
			}
			catch (IOException ex) {
				return received;
			}
			if (found < 0) {
				return received;
			}
			received += found;
			long dueMillis = received * 1_000L / bytesPerSecond - (System.nanoTime() - startNanos) / 1_000_000;
			if (dueMillis > 0) {
				Thread.sleep(dueMillis);
			}
		}
		return received;
	}

}
