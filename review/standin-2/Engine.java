import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-in for an engine: it runs one request at a time on a channel. */
final class Engine {

	/** What an engine does with a request whose head it has read. */
	interface Work {

		void run(Engine engine, Http.Head head, Socket socket) throws IOException, InterruptedException;

	}

	private static final String EXPECTED = Wire.name("expected-instance");

	final String id;

	final String service;

	final String stage;

	private final ServerSocket server;

	private final Work work;

	private final Set<Socket> open = ConcurrentHashMap.newKeySet();

	final AtomicLong sequence = new AtomicLong(1);

	final long born = System.currentTimeMillis();

	Engine(String id, String service, String stage, String ip, int port, Work work) throws IOException {
		this.id = id;
		this.service = service;
		this.stage = stage;
		this.work = work;
		this.server = new ServerSocket();
		this.server.setReuseAddress(true);
		this.server.setReceiveBufferSize(32 * 1024);
		this.server.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 512);
		Thread thread = new Thread(this::accept, id);
		thread.setDaemon(true);
		thread.start();
	}

	int port() {
		return this.server.getLocalPort();
	}

	String entry(String state) {
		return """
				{"service":"%s","address":"%s:%d","zone":"a","version":"v1","slots":64,"state":"%s",\
				"coldRemainingMs":0,%s"seq":%d,"born":%d}""".formatted(this.service,
				this.server.getInetAddress().getHostAddress(), port(), state,
				this.stage.isEmpty() ? "" : "\"stage\":\"" + this.stage + "\",", this.sequence.getAndIncrement(),
				this.born);
	}

	private void accept() {
		while (true) {
			try {
				Socket socket = this.server.accept();
				socket.setTcpNoDelay(true);
				this.open.add(socket);
				Thread thread = new Thread(() -> serve(socket), this.id + "-call");
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
			while (true) {
				Http.Head head = Http.head(socket.getInputStream());
				if (head == null) {
					return;
				}
				if (!head.field(EXPECTED).isEmpty() && !head.field(EXPECTED).equals(this.id)) {
					Http.body(socket.getInputStream(), head);
					reply(socket, 421, Wire.name("not-run") + "\r\n", new byte[0], head);
					continue;
				}
				this.work.run(this, head, socket);
			}
		}
		catch (IOException | InterruptedException ex) {
			// The daemon has closed the channel.
		}
		finally {
			this.open.remove(socket);
		}
	}

	static void reply(Socket socket, int status, String fields, byte[] body, Http.Head head) throws IOException {
		OutputStream out = socket.getOutputStream();
		out.write(("HTTP/1.1 " + status + " X\r\nX-Request-Id: " + head.field("X-Request-Id") + "\r\n" + fields
				+ "Content-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
		out.write(body);
		out.flush();
	}

	static void succeed(Socket socket, Http.Head head, byte[] body) throws IOException {
		reply(socket, 200, Wire.name("proof") + ": s." + head.field("X-Request-Id") + "\r\n", body, head);
	}

	/** Reads a body of known length at a rate. */
	static void readSlowly(InputStream in, long bytes, long bytesPerSecond) throws IOException, InterruptedException {
		long left = bytes;
		byte[] part = new byte[16 * 1024];
		while (left > 0) {
			int found = in.read(part, 0, (int) Math.min(part.length, left));
			if (found < 0) {
				throw new IOException("the channel ended inside a body");
			}
			left -= found;
			Thread.sleep(Math.max(1, found * 1_000L / bytesPerSecond));
		}
	}

	/** Crashes: all channels are reset, and the port is closed. */
	void crash() throws IOException {
		this.server.close();
		for (Socket socket : this.open) {
			socket.setSoLinger(true, 0);
			socket.close();
		}
	}

}
