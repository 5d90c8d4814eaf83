package org.skylarkstack.platform;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Stand-in for a server at the level of its connections: reads the head of each request
 * and leaves the rest to a handler. A request for another instance gets 421.
 */
final class ReviewServer implements AutoCloseable {

	private final ServerSocket listener;

	private final String id;

	private final Handler handler;

	private ReviewServer(String id, ServerSocket listener, Handler handler) {
		this.id = id;
		this.listener = listener;
		this.handler = handler;
	}

	static ReviewServer start(String id, String host, int receiveBufferBytes, Handler handler) throws IOException {
		ServerSocket listener = new ServerSocket();
		if (receiveBufferBytes > 0) {
			listener.setReceiveBufferSize(receiveBufferBytes);
		}
		listener.bind(new InetSocketAddress(host, ReviewFleet.freePort(host)), 1_000);
		ReviewServer server = new ReviewServer(id, listener, handler);
		Thread acceptor = new Thread(server::accept, "server-" + id);
		acceptor.setDaemon(true);
		acceptor.start();
		return server;
	}

	InetSocketAddress address() {
		return new InetSocketAddress(this.listener.getInetAddress().getHostAddress(), this.listener.getLocalPort());
	}

	String id() {
		return this.id;
	}

	private void accept() {
		while (!this.listener.isClosed()) {
			try {
				Socket socket = this.listener.accept();
				Thread thread = new Thread(() -> serve(socket));
				thread.setDaemon(true);
				thread.start();
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			InputStream input = new BufferedInputStream(socket.getInputStream());
			Request request = Request.read(input);
			while (request != null) {
				String expected = request.header("x-expect-instance");
				if (!expected.isEmpty() && !expected.equals(this.id)) {
					write(socket, 421, Wire.text("other-instance-headers.txt", request.id(), this.id), "");
				}
				else if (!this.handler.handle(request, socket)) {
					return;
				}
				request = Request.read(input);
			}
		}
		catch (IOException ex) {
			// The other side has closed the connection.
		}
	}

	static void write(Socket socket, int status, String headers, String body) throws IOException {
		byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
		ByteArrayOutputStream message = new ByteArrayOutputStream();
		message.writeBytes(("HTTP/1.1 %d Status\r\n%sContent-Length: %d\r\n\r\n".formatted(status, headers, bytes.length))
			.getBytes(StandardCharsets.US_ASCII));
		message.writeBytes(bytes);
		socket.getOutputStream().write(message.toByteArray());
		socket.getOutputStream().flush();
	}

	@Override
	public void close() throws IOException {
		this.listener.close();
	}

	/**
	 * Answers requests.
	 */
	interface Handler {

		/**
		 * Answers a request.
		 * @return whether the connection stays open
		 */
		boolean handle(Request request, Socket socket) throws IOException;

	}

	/**
	 * Head of a request or of a response, and the stream from which its body is read.
	 */
	record Request(String startLine, Map<String, String> headers, InputStream input) {

		static Request read(InputStream input) throws IOException {
			ByteArrayOutputStream head = new ByteArrayOutputStream();
			int matched = 0;
			while (matched < 4) {
				int next = input.read();
				if (next < 0) {
					return null;
				}
				head.write(next);
				matched = (next == "\r\n\r\n".charAt(matched)) ? matched + 1 : (next == '\r') ? 1 : 0;
			}
			String[] lines = head.toString(StandardCharsets.ISO_8859_1).split("\r\n");
			Map<String, String> headers = new LinkedHashMap<>();
			for (int index = 1; index < lines.length; index++) {
				int colon = lines[index].indexOf(':');
				headers.put(lines[index].substring(0, colon).toLowerCase(Locale.ROOT),
						lines[index].substring(colon + 1).trim());
			}
			return new Request(lines[0], headers, input);
		}

		String header(String name) {
			return this.headers.getOrDefault(name, "");
		}

		String id() {
			return header("x-request-id");
		}

		int status() {
			return Integer.parseInt(this.startLine.split(" ")[1]);
		}

		int contentLength() {
			String length = header("content-length");
			return length.isEmpty() ? 0 : Integer.parseInt(length);
		}

		byte[] readBody() throws IOException {
			return this.input.readNBytes(contentLength());
		}

	}

}
