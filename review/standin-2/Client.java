import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** A client with one channel, which it keeps between requests. */
final class Client implements AutoCloseable {

	/** What came back: status -1 if the channel ended, -2 if nothing came in time. */
	record Answer(int status, Http.Head head, byte[] body, String note, long millis) {

	}

	private final String ip;

	private final int port;

	private Socket socket;

	Client(String ip, int port) {
		this.ip = ip;
		this.port = port;
	}

	void connect() throws IOException {
		if (this.socket == null || this.socket.isClosed()) {
			this.socket = new Socket();
			this.socket.setTcpNoDelay(true);
			this.socket.connect(new InetSocketAddress(this.ip, this.port), 1_000);
		}
	}

	Socket socket() {
		return this.socket;
	}

	Answer call(String method, String target, String host, String fields, String id, int timeoutMillis, byte[] body) {
		long sent = System.nanoTime();
		try {
			connect();
			this.socket.setSoTimeout(timeoutMillis);
			OutputStream out = this.socket.getOutputStream();
			out.write((method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: " + id
					+ "\r\nX-Request-Timeout-Ms: " + timeoutMillis + "\r\n" + fields
					+ ((body.length > 0) ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
			out.write(body);
			out.flush();
			Http.Head head = Http.head(this.socket.getInputStream());
			if (head == null) {
				close();
				return new Answer(-1, null, null, "closed", millis(sent));
			}
			byte[] content = Http.body(this.socket.getInputStream(), head);
			if ("close".equalsIgnoreCase(head.field("Connection"))) {
				close();
			}
			return new Answer(head.status(), head, content, "", millis(sent));
		}
		catch (SocketTimeoutException ex) {
			close();
			return new Answer(-2, null, null, "no answer", millis(sent));
		}
		catch (IOException ex) {
			close();
			return new Answer(-1, null, null, ex.toString(), millis(sent));
		}
	}

	private static long millis(long sinceNanos) {
		return (System.nanoTime() - sinceNanos) / 1_000_000;
	}

	@Override
	public void close() {
		try {
			if (this.socket != null) {
				this.socket.close();
			}
		}
		catch (IOException ex) {
			// Nothing can be done.
		}
		this.socket = null;
	}

}
