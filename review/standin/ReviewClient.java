package org.skylarkstack.platform;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * Stand-in for a client: sends requests and reads answers at the level of the connection.
 */
final class ReviewClient {

	private static final int TIMEOUT_MILLIS = 15_000;

	private ReviewClient() {
	}

	static Socket connect(InetSocketAddress callers) throws IOException {
		Socket socket = new Socket();
		socket.connect(callers, 1_000);
		socket.setSoTimeout(TIMEOUT_MILLIS);
		return socket;
	}

	/**
	 * Sends a request.
	 * @param headers further headers, each with its line break
	 */
	static void post(Socket socket, String path, String id, String key, String headers, byte[] body)
			throws IOException {
		ByteArrayOutputStream message = new ByteArrayOutputStream();
		message.writeBytes(Wire.bytes("request.txt", path, id, key, headers, body.length));
		message.writeBytes(body);
		socket.getOutputStream().write(message.toByteArray());
		socket.getOutputStream().flush();
	}

	/**
	 * Reads the body of an answer.
	 * @param answer the head of the answer
	 * @return the body and whether it ended as a complete one
	 */
	static Body readBody(ReviewServer.Request answer) throws IOException {
		if ("chunked".equals(answer.header("transfer-encoding"))) {
			return readChunks(answer.input());
		}
		byte[] bytes = answer.readBody();
		return new Body(new String(bytes, StandardCharsets.US_ASCII), bytes.length == answer.contentLength());
	}

	private static Body readChunks(InputStream input) {
		StringBuilder text = new StringBuilder();
		try {
			while (true) {
				int length = Integer.parseInt(readLine(input), 16);
				byte[] chunk = input.readNBytes(length + 2);
				if (chunk.length < length + 2) {
					return new Body(text.toString(), false);
				}
				if (length == 0) {
					return new Body(text.toString(), true);
				}
				text.append(new String(chunk, 0, length, StandardCharsets.US_ASCII));
			}
		}
		catch (IOException ex) {
			// The connection ended before the last chunk.
			return new Body(text.toString(), false);
		}
	}

	private static String readLine(InputStream input) throws IOException {
		StringBuilder line = new StringBuilder();
		for (int next = input.read(); next != '\n'; next = input.read()) {
			if (next < 0) {
				throw new IOException("the connection was closed");
			}
			line.append((char) next);
		}
		return line.toString().trim();
	}

	/**
	 * Body of an answer.
	 *
	 * @param text what was received
	 * @param complete whether the answer ended as a complete one
	 */
	record Body(String text, boolean complete) {

	}

}
