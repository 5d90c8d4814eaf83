import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 12: one engine fails part of its requests after it has run them, with a 503 of its own that does not
 * state X-Not-Executed. What do the callers of bookings get?
 */
final class OwnRefusals {

	private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

	private static final int ENGINES = 3;

	private static final double FAILED_SHARE = 0.4;

	private static final long TROUBLE_MILLIS = 6_000;

	private static final int BOOKINGS = 160;

	private static final long GAP_MILLIS = 50;

	private OwnRefusals() {
	}

	public static void main(String[] arguments) {
		int status = 2;
		try (Rig rig = new Rig(Path.of(arguments[0]))) {
			status = play(rig) ? 1 : 0;
			rig.record("exit status %d", status);
		}
		catch (Exception ex) {
			ex.printStackTrace();
		}
		System.exit(status);
	}

	private static boolean play(Rig rig) throws Exception {
		Rig.Store store = rig.add(new Rig.Store());
		Map<String, String> engineByRun = new ConcurrentHashMap<>();
		Map<String, AtomicInteger> runsByBooking = new ConcurrentHashMap<>();
		long[] troubleEnd = { 0 };
		Random random = new Random(12);
		for (int number = 1; number <= ENGINES; number++) {
			String engineId = "i-app-" + number;
			boolean grey = number == 1;
			Rig.Server engine = rig.add(new Rig.Server((socket, reader, output) -> {
				Rig.Message request = reader.message();
				String id = request.headers.get("X-Request-Id");
				engineByRun.put(id, engineId);
				runsByBooking.computeIfAbsent(request.text(), (booking) -> new AtomicInteger()).incrementAndGet();
				Rig.sleep(30);
				boolean fails;
				synchronized (random) {
					fails = grey && Rig.now() < troubleEnd[0] && random.nextDouble() < FAILED_SHARE;
				}
				String head = "X-Request-Id: " + id + "\r\nx-server-signature: " + engineId + "." + id + "\r\n";
				Rig.respond(output, fails ? "503 Service Unavailable" : "200 OK", head,
						(fails ? "the booking is written, its confirmation is not" : "booked")
							.getBytes(StandardCharsets.UTF_8));
			}));
			store.put("servers", engineId, Rig.entry("vyjezd", engine.address(), 6, "ready", 1));
		}
		store.put("op", "config", Files.readString(Path.of("review/12/config.json")));
		Rig.Daemon daemon = rig.daemon("front-a-1", "a", store);
		Rig.sleep(1_000);
		troubleEnd[0] = Rig.trouble() ? Rig.now() + TROUBLE_MILLIS : 0;
		rig.record("one engine of %d fails %s of its requests for %d ms", ENGINES, FAILED_SHARE,
				Rig.trouble() ? TROUBLE_MILLIS : 0);
		Map<String, Integer> statusByAttempt = new ConcurrentHashMap<>();
		List<Thread> callers = new ArrayList<>();
		for (int number = 1; number <= BOOKINGS; number++) {
			String booking = "booking-" + number;
			callers.add(Rig.run(() -> book(rig, daemon, booking, statusByAttempt)));
			Rig.sleep(GAP_MILLIS);
		}
		for (Thread caller : callers) {
			caller.join(10_000);
		}
		int broken = 0;
		for (Map.Entry<String, Integer> attempt : statusByAttempt.entrySet()) {
			String engine = engineByRun.get(attempt.getKey());
			if (PROMISES.contains(attempt.getValue()) && engine != null) {
				broken++;
				rig.record("REFUSED %s was answered %d and ran at %s", attempt.getKey(), attempt.getValue(), engine);
			}
		}
		long twice = runsByBooking.values().stream().filter((runs) -> runs.get() > 1).count();
		long answered = statusByAttempt.values().stream().filter((status) -> status == 200).count();
		rig.record("%d attempts, %d answered 200, %d answered as not run although they ran, %d bookings made twice",
				statusByAttempt.size(), answered, broken, twice);
		System.out.printf("%d attempts, %d answered 200, %d answered as not run although they ran, %d bookings twice%n",
				statusByAttempt.size(), answered, broken, twice);
		if (answered == 0) {
			throw new IllegalStateException("no booking was answered");
		}
		return broken > 0;
	}

	// A client repeats a booking once, and only after a status that promises that it has not run.
	private static void book(Rig rig, Rig.Daemon daemon, String booking, Map<String, Integer> statusByAttempt)
			throws Exception {
		for (int attempt = 1; attempt <= 2; attempt++) {
			String id = booking + "/" + attempt;
			try (Rig.Client client = daemon.client()) {
				client.send("POST /visits/%s HTTP/1.1\r\nHost: stations.example\r\nX-Request-Id: %s\r\nX-Request-Timeout-Ms: 4000\r\nContent-Length: %d\r\n\r\n%s"
					.formatted(booking, id, booking.length(), booking));
				Rig.Message answer = client.read();
				statusByAttempt.put(id, answer.status);
				String signature = answer.headers.get("x-server-signature");
				rig.record("%s -> %d signature %s Retry-After %s: %s", id, answer.status, signature,
						answer.headers.get("Retry-After"), answer.text().trim());
				if (!PROMISES.contains(answer.status)) {
					return;
				}
				Rig.sleep((long) (1_000 * Double.parseDouble(answer.headers.getOrDefault("Retry-After", "0.3"))));
			}
		}
	}

}
