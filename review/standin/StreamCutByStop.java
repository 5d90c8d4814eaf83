package org.skylarkstack.platform;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A daemon is stopped (SIGTERM) while callers hold idle channels. Each caller sends a
 * stream request on its channel a little over three seconds later.
 */
final class StreamCutByStop {

	private static final int WARM_UP_REQUESTS = 24;

	private static final int CALLERS = 8;

	private static final long EVENT_MILLIS = 40;

	private static final int TOKENS_PER_EVENT = 50;

	private static final int PROMPT_TOKENS = 1_000;

	private static final int MAX_OUTPUT_TOKENS = 6_500;

	// The site's streams have 70 events in the mean and 130 at most.
	private static final int MIN_EVENTS = 40;

	private static final int MAX_EVENTS = 100;

	private static final int LAST_EVENTS = 125;

	// Callers' estimates of the length are often far off.
	private static final int LAST_HINT_EVENTS = 35;

	private static final long FIRST_SEND_MILLIS = 3_040;

	private static final long SEND_SPREAD_MILLIS = 14;

	private StreamCutByStop() {
	}

	public static void main(String[] arguments) {
		ReviewFleet.main(arguments, StreamCutByStop::run);
	}

	private static boolean run(ReviewFleet fleet, boolean trouble) throws Exception {
		fleet.configure(Wire.text("stream-route.json"), Wire.text("model-service.json"));
		AtomicInteger handles = new AtomicInteger();
		ReviewServer prefill = ReviewServer.start("p-1", fleet.nextHost(), 0, (request, socket) -> {
			request.readBody();
			ReviewServer.write(socket, 200, Wire.text("prefill-answer-headers.txt", request.id()),
					Wire.text("prefill-answer.json", handles.incrementAndGet(), PROMPT_TOKENS));
			return true;
		});
		ReviewServer decode = ReviewServer.start("d-1", fleet.nextHost(), 0,
				(request, socket) -> stream(fleet, request, socket));
		fleet.announce("p-1", "model", "prefill", prefill.address(), 64, 1);
		fleet.announce("d-1", "model", "decode", decode.address(), 64, 1);
		InetSocketAddress callers = fleet.startDaemon("vm-1", fleet.store().address());

		AtomicInteger cut = new AtomicInteger();
		List<Socket> channels = warmUp(fleet, callers, cut);
		if (cut.get() > 0) {
			throw new IllegalStateException("streams were cut before the stop");
		}
		long stopNanos = System.nanoTime();
		if (trouble) {
			fleet.note("SIGTERM to vm-1");
			fleet.daemon("vm-1").destroy();
		}
		List<Thread> threads = new ArrayList<>();
		for (int number = 0; number < CALLERS; number++) {
			String id = "last-" + number;
			Socket socket = channels.get(number);
			long sendNanos = stopNanos
					+ TimeUnit.MILLISECONDS.toNanos(FIRST_SEND_MILLIS + number * SEND_SPREAD_MILLIS);
			threads.add(new Thread(() -> {
				try (socket) {
					TimeUnit.NANOSECONDS.sleep(sendNanos - System.nanoTime());
					fleet.note("caller sends %s %d ms after the stop", id, (System.nanoTime() - stopNanos) / 1_000_000);
					exchange(fleet, socket, id, LAST_EVENTS, LAST_HINT_EVENTS, cut);
				}
				catch (IOException | InterruptedException ex) {
					fleet.note("caller of %s: %s", id, ex);
				}
			}));
		}
		threads.forEach(Thread::start);
		for (Thread thread : threads) {
			thread.join();
		}
		fleet.note("streams that were passed on and cut: %d", cut.get());
		return cut.get() == 0;
	}

	// The last callers keep their channels.
	private static List<Socket> warmUp(ReviewFleet fleet, InetSocketAddress callers, AtomicInteger cut)
			throws Exception {
		Random random = new Random(1);
		List<Socket> channels = new ArrayList<>();
		List<Thread> threads = new ArrayList<>();
		for (int number = 0; number < WARM_UP_REQUESTS; number++) {
			int events = random.nextInt(MIN_EVENTS, MAX_EVENTS);
			String id = "early-" + number;
			Socket socket = ReviewClient.connect(callers);
			boolean kept = number >= WARM_UP_REQUESTS - CALLERS;
			if (kept) {
				channels.add(socket);
			}
			Thread thread = new Thread(() -> {
				try {
					exchange(fleet, socket, id, events, events, cut);
					if (!kept) {
						socket.close();
					}
				}
				catch (IOException ex) {
					fleet.note("caller of %s: %s", id, ex);
				}
			});
			threads.add(thread);
			thread.start();
			Thread.sleep(150);
		}
		for (Thread thread : threads) {
			thread.join();
		}
		return channels;
	}

	private static void exchange(ReviewFleet fleet, Socket socket, String id, int events, int hintEvents,
			AtomicInteger cut) throws IOException {
		ReviewClient.post(socket, "/text/" + events, id, ReviewFleet.KEY,
				Wire.text("stream-request.txt", PROMPT_TOKENS, MAX_OUTPUT_TOKENS, hintEvents * TOKENS_PER_EVENT,
						id.hashCode(), PROMPT_TOKENS - 20),
				new byte[5_000]);
		ReviewServer.Request answer = ReviewServer.Request.read(socket.getInputStream());
		if (answer == null) {
			fleet.note("caller got a closed channel for %s, nothing was answered", id);
			return;
		}
		if (answer.status() != 200) {
			answer.readBody();
			fleet.note("caller got %d for %s", answer.status(), id);
			return;
		}
		ReviewClient.Body body = ReviewClient.readBody(answer);
		int received = body.text().split("id: ", -1).length - 1;
		boolean complete = body.complete() && received == events;
		fleet.note("caller got 200 for %s with %d of %d events, complete: %s", id, received, events, complete);
		if (!complete) {
			cut.incrementAndGet();
		}
	}

	private static boolean stream(ReviewFleet fleet, ReviewServer.Request request, Socket socket) throws IOException {
		request.readBody();
		int events = Integer.parseInt(request.startLine().split("[/ ]")[3]);
		fleet.note("engine runs %s", request.id());
		socket.getOutputStream().write(Wire.bytes("stream-answer.txt", request.id()));
		try {
			for (int event = 1; event <= events; event++) {
				String text = "id: %d\ndata: %s\n\n".formatted(event, request.id());
				socket.getOutputStream()
					.write("%x\r\n%s\r\n".formatted(text.length(), text).getBytes(StandardCharsets.US_ASCII));
				socket.getOutputStream().flush();
				Thread.sleep(EVENT_MILLIS);
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (IOException ex) {
			fleet.note("engine was cut off from %s", request.id());
			throw ex;
		}
		socket.getOutputStream().write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
		socket.getOutputStream().flush();
		fleet.note("engine has completed %s", request.id());
		return true;
	}

}
