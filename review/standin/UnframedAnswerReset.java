package org.skylarkstack.platform;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * A server begins its answer before it has read a long body. The answer has no length and
 * ends with its connection. The server crashes in the middle of the answer, so that the
 * connection is reset.
 */
final class UnframedAnswerReset {

	private static final int REQUESTS = 10;

	private static final int BODY_BYTES = 4_190_000;

	private static final int READ_FIRST_BYTES = 32 * 1024;

	private static final int ANSWER_BYTES = 2_000;

	private UnframedAnswerReset() {
	}

	public static void main(String[] arguments) {
		ReviewFleet.main(arguments, UnframedAnswerReset::run);
	}

	private static boolean run(ReviewFleet fleet, boolean trouble) throws Exception {
		fleet.configure(KeyChecks.ROUTES, KeyChecks.SERVICES);
		ReviewServer server = ReviewServer.start("s-1", fleet.nextHost(), 64 * 1024,
				(request, socket) -> answer(fleet, trouble, request, socket));
		fleet.announce("s-1", "plain", "", server.address(), 6, 1);
		var callers = fleet.startDaemon("vm-1", fleet.store().address());
		byte[] body = new byte[BODY_BYTES];
		Arrays.fill(body, (byte) 'q');
		boolean held = true;
		for (int number = 0; number < REQUESTS; number++) {
			String id = "req-" + number;
			try (Socket socket = ReviewClient.connect(callers)) {
				fleet.note("client sends %s", id);
				ReviewClient.post(socket, "/book/x", id, ReviewFleet.KEY, Wire.text("plain-request.txt"), body);
				held &= check(fleet, id, trouble, socket);
			}
			Thread.sleep(500);
		}
		return held;
	}

	private static boolean check(ReviewFleet fleet, String id, boolean trouble, Socket socket) throws IOException {
		ReviewServer.Request answer = ReviewServer.Request.read(socket.getInputStream());
		if (answer == null) {
			fleet.note("client got a closed channel for %s", id);
			return trouble;
		}
		byte[] body = answer.readBody();
		boolean success = answer.status() / 100 == 2;
		boolean whole = Arrays.equals(body, wholeAnswer(id));
		fleet.note("client got %d for %s with %d bytes, proof '%s', whole: %s", answer.status(), id, body.length,
				answer.header("x-server-signature"), whole);
		return success ? whole : trouble;
	}

	private static byte[] wholeAnswer(String id) {
		byte[] bytes = new byte[ANSWER_BYTES];
		byte[] pattern = (id + ".").getBytes(StandardCharsets.US_ASCII);
		for (int index = 0; index < bytes.length; index++) {
			bytes[index] = pattern[index % pattern.length];
		}
		return bytes;
	}

	private static boolean answer(ReviewFleet fleet, boolean trouble, ReviewServer.Request request, Socket socket)
			throws IOException {
		request.input().readNBytes(Math.min(request.contentLength(), READ_FIRST_BYTES));
		byte[] whole = wholeAnswer(request.id());
		socket.getOutputStream().write(Wire.bytes("answer-without-length.txt", request.id()));
		socket.getOutputStream().write(whole, 0, ANSWER_BYTES / 2);
		socket.getOutputStream().flush();
		pause();
		if (trouble) {
			// The process ends; its system resets the connection because of the unread body.
			fleet.note("server crashes after %d of %d bytes of the answer to %s", ANSWER_BYTES / 2, ANSWER_BYTES,
					request.id());
			socket.setSoLinger(true, 0);
			return false;
		}
		socket.getOutputStream().write(whole, ANSWER_BYTES / 2, ANSWER_BYTES / 2);
		socket.getOutputStream().flush();
		request.input().readNBytes(Math.max(0, request.contentLength() - READ_FIRST_BYTES));
		fleet.note("server has written its whole answer to %s and read its body", request.id());
		return false;
	}

	private static void pause() {
		try {
			Thread.sleep(100);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
